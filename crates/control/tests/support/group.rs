//! A group of stand-in members. The control replicas and the other members reach each member through gates;
//! callers connect directly.

use super::gate::{Gate, GateState};
use corktack_core::identity::{GroupName, MemberName};
use corktack_standin::{Member, MemberHandle, MemberSettings, Peer};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use tempfile::TempDir;

const SIZE: usize = 3;

/// A group whose members can be cut off, frozen or killed.
pub struct GatedGroup {
    pub name: GroupName,
    pub members: Vec<Option<MemberHandle>>,
    names: Vec<MemberName>,
    postgres_addresses: Vec<SocketAddr>,
    replication_addresses: Vec<SocketAddr>,
    /// Gate in front of each member, for the control replicas.
    control_gates: Vec<Gate>,
    /// Gates between members, each with the indexes of the connecting member and of its target.
    replication_gates: Vec<(usize, usize, Gate)>,
    _folder: TempDir,
}

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

impl GatedGroup {
    pub fn start(name: &str) -> Self {
        let folder = TempDir::new().expect("a folder can be made");
        let names: Vec<MemberName> = (1..=SIZE)
            .map(|number| MemberName::new(format!("{name}-{number}")).expect("a valid name"))
            .collect();
        let bound: Vec<_> = (0..SIZE).map(|_| (bind(), bind())).collect();
        let targets: Vec<SocketAddr> =
            bound.iter().map(|(_, (_, replication))| *replication).collect();
        let mut group = Self {
            name: GroupName::new(name).expect("a valid name"),
            members: Vec::new(),
            names,
            postgres_addresses: bound.iter().map(|((_, postgres), _)| *postgres).collect(),
            control_gates: bound.iter().map(|((_, postgres), _)| Gate::start(*postgres)).collect(),
            replication_gates: pairs()
                .map(|(from, to)| (from, to, Gate::start(targets[to])))
                .collect(),
            replication_addresses: targets,
            _folder: folder,
        };
        for (index, ((postgres, _), (replication, _))) in bound.into_iter().enumerate() {
            let member = group.start_member(index, postgres, replication);
            group.members.push(Some(member));
        }
        group
    }

    fn start_member(
        &self,
        index: usize,
        postgres: TcpListener,
        replication: TcpListener,
    ) -> MemberHandle {
        let name = self.names[index].clone();
        let folder = self._folder.path().join(name.as_str());
        let mut settings = MemberSettings::new(name, folder, postgres, replication);
        let own_gates = self.replication_gates.iter().filter(|(from, ..)| *from == index);
        let peer = |(_, to, gate): &(usize, usize, Gate)| Peer {
            name: self.names[*to].clone(),
            replication: gate.address,
        };
        settings.peers = own_gates.map(peer).collect();
        settings.initial_primary = index == 0;
        Member::start(settings).expect("a member starts")
    }

    /// Returns the PUT body that declares the group, with the gates' addresses for the control replicas.
    pub fn spec(&self) -> Value {
        let members = self.names.iter().zip(&self.control_gates);
        let members: Vec<_> = members
            .map(|(name, gate)| json!({"name": name, "address": gate.address, "zone": "amba.a"}))
            .collect();
        let spec =
            json!({"database": self.name, "members": members, "slots": 5, "connections": 15});
        json!({ "spec": spec })
    }

    /// Returns the index of a member.
    pub fn index_of(&self, member: &MemberName) -> usize {
        self.names.iter().position(|name| name == member).expect("a member")
    }

    /// Returns the address at which callers reach a member directly.
    pub fn postgres_address(&self, index: usize) -> SocketAddr {
        self.postgres_addresses[index]
    }

    /// Binds the ports of a killed member, as a member of another group may.
    pub fn bind_ports_of(&self, index: usize) -> [TcpListener; 2] {
        assert!(self.members[index].is_none(), "the member is killed");
        [self.postgres_addresses[index], self.replication_addresses[index]]
            .map(|address| TcpListener::bind(address).expect("a killed member has freed its ports"))
    }

    /// Sets the state of all gates to and from a member, except those to a killed member; direct connections
    /// of callers are not affected.
    pub fn set_gates(&self, index: usize, state: GateState) {
        let is_running = |to: usize| self.members[to].is_some();
        if is_running(index) {
            self.control_gates[index].set(state);
        }
        for (from, to, gate) in &self.replication_gates {
            if (*from == index || *to == index) && is_running(*to) {
                gate.set(state);
            }
        }
    }

    /// Stops a member at once. Its ports become free, and a member of another test may be bound to them; the
    /// gates to this member are therefore cut before, for good, so that no request for it goes there.
    pub fn kill(&mut self, index: usize) {
        self.control_gates[index].set(GateState::Cut);
        for (_, to, gate) in &self.replication_gates {
            if *to == index {
                gate.set(GateState::Cut);
            }
        }
        drop(self.members[index].take());
    }
}

/// Returns the pairs of indexes of different members.
fn pairs() -> impl Iterator<Item = (usize, usize)> {
    let others = |from| (0..SIZE).filter(move |to| *to != from).map(move |to| (from, to));
    (0..SIZE).flat_map(others)
}
