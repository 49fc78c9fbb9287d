//! What control says anew while the gateways run.

use super::document::{OWN_WRITES, gateway_name, group, other_group, register, tenant_rules};
use super::{World, bind};
use crate::member::Member;
use corktack_core::identity::MemberName;
use corktack_core::registry::{BackEndState, Document};
use corktack_core::view::{Revision, View};
use std::sync::Arc;

impl World {
    /// A gateway listens for the others no longer where the view says.
    pub fn lose_peer(&mut self, place: usize) {
        let lost = bind().1;
        self.peers[place] = lost;
        self.change(|view| {
            let name = gateway_name(place);
            view.proxies.get_mut(&name).expect("a gateway in the view").address = lost;
        });
    }

    /// Another document with other tenants is in force.
    pub fn change_tenants(&self, tenants: &[(&str, &[&str])]) {
        self.change_document(|document| document.tenants = Some(tenant_rules(tenants)));
    }

    /// Members take so many connections from now on.
    pub fn change_connections(&self, max_connections: u32) {
        self.change_document(|document| document.services[0].max_connections = max_connections);
    }

    /// A route asks for no key any more, or does so again.
    pub fn make_public(&self, name: &str, public: bool) {
        self.change_document(|document| {
            let route = document.routes.iter_mut().find(|route| route.name == name);
            route.expect("a route").public = public;
        });
    }

    pub(super) fn change_document(&self, change: impl FnOnce(&mut Document)) {
        self.change(|view| {
            let mut document = Document::clone(view.document.as_ref().expect("a document"));
            document.version += 1;
            change(&mut document);
            view.document = Some(Arc::new(document));
        });
    }

    /// The route [`OWN_WRITES`] leads to the other group, or back. The gateways, which share the
    /// test's thread, follow before they read anything that is sent to them from now on.
    pub fn move_own_writes(&self, to_other: bool) {
        self.change_document(|document| {
            let route = document.routes.iter_mut().find(|route| route.name == OWN_WRITES);
            route.expect("a route").group = if to_other { other_group() } else { group() };
        });
    }

    /// Control says that a member is leaving. The gateways, which share the test's thread, follow
    /// before they read anything that is sent to them from now on.
    pub fn drain(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| {
            let back_end = view.back_ends.get_mut(&name).expect("a registered member");
            Arc::make_mut(back_end).state = BackEndState::Draining;
        });
    }

    /// Control says that a member is at the address where it listens now. The gateways follow as for
    /// [`World::drain`].
    pub fn change_address(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| {
            let back_end = view.back_ends.get_mut(&name).expect("a registered member");
            Arc::make_mut(back_end).address = member.address;
        });
    }

    /// Control says that a member has left. The gateways follow as for [`World::drain`].
    pub fn remove(&self, member: &Member) {
        let name = MemberName::new(member.name.as_str()).expect("a valid name");
        self.change(|view| drop(view.back_ends.remove(&name)));
    }

    /// Control says that a member has come. The gateways follow as for [`World::drain`].
    pub fn add(&self, member: &Member) {
        self.change(|view| register(view, &group(), &[member]));
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut View)) {
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            next.revision = Revision(view.revision.0 + 1);
            change(&mut next);
            *view = Arc::new(next);
        });
    }
}
