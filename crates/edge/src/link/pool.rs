//! The connections of one arbiter to owners.

use super::task::LinkTask;
use super::{OwnerLife, OwnerLink};
use corktack_core::view::View;
use corktack_protocol::peer::EdgeMessage;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The connections of one arbiter, one for each life of an owner proxy.
#[derive(Debug)]
pub struct LinkPool {
    identity: OwnerLife,
    own_owner: Option<SocketAddr>,
    view: watch::Receiver<Arc<View>>,
    links: RefCell<HashMap<OwnerLife, Rc<OwnerLink>>>,
}

impl LinkPool {
    /// No connections yet. The owner of `identity` itself is reached at `own_owner`.
    #[must_use]
    pub fn new(
        identity: OwnerLife,
        own_owner: Option<SocketAddr>,
        view: watch::Receiver<Arc<View>>,
    ) -> Self {
        Self { identity, own_owner, view, links: RefCell::default() }
    }

    /// The connection to an owner; a new one when there is none or it has failed.
    #[must_use]
    pub fn link(&self, owner: &OwnerLife, address: SocketAddr) -> Rc<OwnerLink> {
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.is_closed());
        links.entry(owner.clone()).or_insert_with(|| self.connect(owner, address)).clone()
    }

    fn connect(&self, owner: &OwnerLife, address: SocketAddr) -> Rc<OwnerLink> {
        let own = self.own_owner.filter(|_| *owner == self.identity);
        let address = own.unwrap_or(address);
        let (sender, outgoing) = mpsc::unbounded_channel();
        let link = Rc::new(OwnerLink::new(sender));
        let hello = EdgeMessage::Hello {
            proxy: self.identity.proxy.clone(),
            incarnation: self.identity.incarnation,
        };
        let view = self.view.clone();
        let owner = owner.clone();
        let task = LinkTask { link: link.clone(), hello, owner, address, outgoing, view };
        actix_rt::spawn(task.run());
        link
    }
}
