//! Configuration changes that control sends while the gateways run.
//!
//! The gateways share the test's thread, so they apply a change before they read anything that is sent to
//! them after it.

use super::document::{OWN_WRITES, gateway_name, group, other_group, register, tenant_rules};
use super::{World, bind};
use crate::member::Member;
use corktack_core::identity::MemberName;
use corktack_core::registry::{BackEndState, Document};
use corktack_core::view::{Revision, View};
use std::sync::Arc;

impl World {
    /// Changes a gateway's address in the view to one where nothing listens, so that the others lose it.
    pub fn make_peer_unreachable(&mut self, index: usize) {
        let lost = bind().1;
        self.peers[index] = lost;
        self.change(|view| {
            let name = gateway_name(index);
            view.proxies.get_mut(&name).expect("a gateway in the view").address = lost;
        });
    }

    /// Replaces the document by one with other tenants.
    pub fn change_tenants(&self, tenants: &[(&str, &[&str])]) {
        self.change_document(|document| document.tenants = Some(tenant_rules(tenants)));
    }

    /// Changes the most connections that members take.
    pub fn change_connections(&self, max_connections: u32) {
        self.change_document(|document| document.services[0].max_connections = max_connections);
    }

    /// Changes whether a route is public, so that callers need no key.
    pub fn make_public(&self, name: &str, public: bool) {
        self.change_document(|document| {
            let route = document.routes.iter_mut().find(|route| route.name == name);
            route.expect("a route").public = public;
        });
    }

    /// Changes the document and increments its version.
    pub(super) fn change_document(&self, change: impl FnOnce(&mut Document)) {
        self.change(|view| {
            let mut document = Document::clone(view.document.as_ref().expect("a document"));
            document.version += 1;
            change(&mut document);
            view.document = Some(Arc::new(document));
        });
    }

    /// Moves the route [`OWN_WRITES`] to the other group, or back.
    pub fn move_own_writes_route(&self, to_other: bool) {
        self.change_document(|document| {
            let route = document.routes.iter_mut().find(|route| route.name == OWN_WRITES);
            route.expect("a route").group = if to_other { other_group() } else { group() };
        });
    }

    /// Marks a member as draining.
    pub fn drain(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| {
            let back_end = view.back_ends.get_mut(&name).expect("a registered member");
            Arc::make_mut(back_end).state = BackEndState::Draining;
        });
    }

    /// Changes a member's registered address to the one where it listens now.
    pub fn change_address(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| {
            let back_end = view.back_ends.get_mut(&name).expect("a registered member");
            Arc::make_mut(back_end).address = member.address;
        });
    }

    /// Removes a member from the view.
    pub fn remove(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| drop(view.back_ends.remove(&name)));
    }

    /// Adds a member to the view.
    pub fn add(&self, member: &Member) {
        self.change(|view| register(view, &group(), &[member]));
    }

    /// Changes the view and increments its revision.
    pub(super) fn change(&self, change: impl FnOnce(&mut View)) {
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision = Revision(view.revision.0 + 1);
            change(&mut next);
            *view = Arc::new(next);
        });
    }
}
