//! A stand-in group whose members are reached by control and by each other
//! through gates, and by callers directly.

use super::gate::{Gate, GateState};
use corktack_core::identity::{GroupName, MemberName};
use corktack_standin::{Member, MemberHandle, MemberSettings, Peer};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use tempfile::TempDir;

const SIZE: usize = 3;

pub struct GatedGroup {
    pub name: GroupName,
    pub members: Vec<Option<MemberHandle>>,
    names: Vec<MemberName>,
    postgres: Vec<SocketAddr>,
    /// Control's way to each member.
    control: Vec<Gate>,
    /// The way of each member to each other one.
    replication: Vec<(usize, usize, Gate)>,
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
            postgres: bound.iter().map(|((_, postgres), _)| *postgres).collect(),
            control: bound.iter().map(|((_, postgres), _)| Gate::to(*postgres)).collect(),
            replication: pairs().map(|(from, to)| (from, to, Gate::to(targets[to]))).collect(),
            _folder: folder,
        };
        for (place, ((postgres, _), (replication, _))) in bound.into_iter().enumerate() {
            let member = group.start_member(place, postgres, replication);
            group.members.push(Some(member));
        }
        group
    }

    fn start_member(
        &self,
        place: usize,
        postgres: TcpListener,
        replication: TcpListener,
    ) -> MemberHandle {
        let name = self.names[place].clone();
        let folder = self._folder.path().join(name.as_str());
        let mut settings = MemberSettings::new(name, folder, postgres, replication);
        let own = self.replication.iter().filter(|(from, ..)| *from == place);
        let peer = |(_, to, gate): &(usize, usize, Gate)| Peer {
            name: self.names[*to].clone(),
            replication: gate.address,
        };
        settings.peers = own.map(peer).collect();
        settings.initial_primary = place == 0;
        Member::start(settings).expect("a member starts")
    }

    /// The declared part, with the addresses that control uses.
    pub fn spec(&self) -> Value {
        let members = self.names.iter().zip(&self.control);
        let members: Vec<_> = members
            .map(|(name, gate)| json!({"name": name, "address": gate.address, "zone": "amba.a"}))
            .collect();
        let spec =
            json!({"database": self.name, "members": members, "slots": 5, "connections": 15});
        json!({ "spec": spec })
    }

    pub fn place_of(&self, member: &MemberName) -> usize {
        self.names.iter().position(|name| name == member).expect("a member")
    }

    /// Where callers reach a member directly.
    pub fn postgres(&self, place: usize) -> SocketAddr {
        self.postgres[place]
    }

    /// Sets every way to and from a member, but that of callers.
    pub fn set(&self, place: usize, state: GateState) {
        self.control[place].set(state);
        for (from, to, gate) in &self.replication {
            if *from == place || *to == place {
                gate.set(state);
            }
        }
    }

    pub fn kill(&mut self, place: usize) {
        drop(self.members[place].take());
    }
}

fn pairs() -> impl Iterator<Item = (usize, usize)> {
    let others = |from| (0..SIZE).filter(move |to| *to != from).map(move |to| (from, to));
    (0..SIZE).flat_map(others)
}
