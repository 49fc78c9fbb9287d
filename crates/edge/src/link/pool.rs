//! The connections of one arbiter to owners.
//!
//! The module owns the table of connections and remembers which owners are stopping; it relies on the
//! configuration in force to forget those that are gone.

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

/// The connections of one arbiter, one for each incarnation of an owner proxy.
#[derive(Debug)]
pub struct LinkPool {
    identity: OwnerIncarnation,
    view: watch::Receiver<Arc<View>>,
    links: RefCell<HashMap<OwnerIncarnation, Rc<OwnerLink>>>,
    /// Owners that said that they stop and whose connection is gone: no
    /// incarnation takes streams again after that.
    stopped: RefCell<HashSet<OwnerIncarnation>>,
}

impl LinkPool {
    /// No connections yet; this process is `identity`.
    #[must_use]
    pub fn new(identity: OwnerIncarnation, view: watch::Receiver<Arc<View>>) -> Self {
        Self { identity, view, links: RefCell::default(), stopped: RefCell::default() }
    }

    /// Opens a stream to an owner.
    #[must_use]
    pub fn open(
        &self,
        owner: &OwnerIncarnation,
        address: SocketAddr,
        request: OpenRequest,
    ) -> OwnerStream {
        OwnerStream::open(&self.link(owner, address), request)
    }

    /// The connection to an owner; a new one when there is none or it has failed.
    fn link(&self, owner: &OwnerIncarnation, address: SocketAddr) -> Rc<OwnerLink> {
        let mut links = self.links.borrow_mut();
        links.retain(|owner, link| {
            if link.is_closed() && link.is_stopping() {
                self.stopped.borrow_mut().insert(owner.clone());
            }
            !link.is_closed()
        });
        links.entry(owner.clone()).or_insert_with(|| self.connect(owner, address)).clone()
    }

    /// Whether this incarnation of an owner takes no new streams.
    #[must_use]
    pub fn is_stopping(&self, owner: &OwnerIncarnation) -> bool {
        if self.links.borrow().get(owner).is_some_and(|link| link.is_stopping()) {
            return true;
        }
        let mut stopped = self.stopped.borrow_mut();
        if stopped.is_empty() {
            return false;
        }
        let view = self.view.borrow();
        let is_in_force = |owner: &OwnerIncarnation| {
            let known = view.proxies.get(&owner.proxy);
            known.is_some_and(|proxy| proxy.incarnation == owner.incarnation)
        };
        stopped.retain(is_in_force);
        stopped.contains(owner)
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
