//! The owner connections of one arbiter.
//!
//! Besides the connections, the pool remembers which owner incarnations are stopping, until the
//! configuration in force no longer lists them.

use super::connection::OwnerLink;
use super::stream::OwnerStream;
use super::task::LinkTask;
use crate::route::OwnerIncarnation;
use corktack_core::view::View;
use corktack_protocol::peer::{EdgeMessage, OpenRequest};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The owner connections of one arbiter, one for each incarnation of an owner proxy.
#[derive(Debug)]
pub struct LinkPool {
    identity: OwnerIncarnation,
    view: watch::Receiver<Arc<View>>,
    links: RefCell<HashMap<OwnerIncarnation, Rc<OwnerLink>>>,
    /// Owner incarnations that announced their stop and whose connection has closed. Such an
    /// incarnation never accepts streams again.
    stopped_owners: RefCell<HashSet<OwnerIncarnation>>,
}

impl LinkPool {
    /// Creates an empty pool. `identity` is this process, which the handshake names to owners.
    #[must_use]
    pub fn new(identity: OwnerIncarnation, view: watch::Receiver<Arc<View>>) -> Self {
        Self { identity, view, links: RefCell::default(), stopped_owners: RefCell::default() }
    }

    /// Opens a stream to an owner, over a new connection if necessary.
    #[must_use]
    pub fn open(
        &self,
        owner: &OwnerIncarnation,
        address: SocketAddr,
        request: OpenRequest,
    ) -> OwnerStream {
        OwnerStream::open(&self.link(owner, address), request)
    }

    /// Returns the connection to an owner; opens a new one if there is none or it has failed.
    fn link(&self, owner: &OwnerIncarnation, address: SocketAddr) -> Rc<OwnerLink> {
        let mut links = self.links.borrow_mut();
        links.retain(|owner, link| {
            if link.is_closed() && link.is_stopping() {
                self.stopped_owners.borrow_mut().insert(owner.clone());
            }
            !link.is_closed()
        });
        links.entry(owner.clone()).or_insert_with(|| self.connect(owner, address)).clone()
    }

    /// Reports whether this incarnation of an owner accepts no new streams.
    #[must_use]
    pub fn is_stopping(&self, owner: &OwnerIncarnation) -> bool {
        if self.links.borrow().get(owner).is_some_and(|link| link.is_stopping()) {
            return true;
        }
        let mut stopped_owners = self.stopped_owners.borrow_mut();
        if stopped_owners.is_empty() {
            return false;
        }
        let view = self.view.borrow();
        let is_in_force = |owner: &OwnerIncarnation| {
            let current = view.proxies.get(&owner.proxy);
            current.is_some_and(|proxy| proxy.incarnation == owner.incarnation)
        };
        stopped_owners.retain(is_in_force);
        stopped_owners.contains(owner)
    }

    fn connect(&self, owner: &OwnerIncarnation, address: SocketAddr) -> Rc<OwnerLink> {
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
