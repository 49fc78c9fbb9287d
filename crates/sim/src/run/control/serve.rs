//! What a machine does for proxies: heartbeats, deltas and snapshots.

use super::Machine;
use crate::run::event::{Address, Context, Packet, ProxyReport};
use crate::run::variant::Variant;
use corktack_core::consensus::{Event, RequestId};
use corktack_core::identity::Incarnation;
use corktack_core::view::Revision;
use corktack_core::watch::{WatchCursor, WatchStep};
use std::sync::Arc;

impl Machine {
    /// Takes a proxy's heartbeat, or one that another machine passed on.
    pub(super) fn take_report(
        &mut self,
        context: &mut Context<'_>,
        from: Address,
        report: ProxyReport,
    ) {
        let Some(process) = &mut self.process else { return };
        let (life, revision) = (report.heartbeat.incarnation, report.heartbeat.revision);
        match &mut process.duties {
            Some(duties) => {
                for observation in &report.observations {
                    let proxy = &report.heartbeat.proxy;
                    duties.observe(context.now, &process.state, proxy, observation.clone());
                }
                duties.membership.on_heartbeat(context.now, report.heartbeat);
            }
            None => {
                let leader = process.replica.leader().map(super::machine_of);
                let direct = matches!(from, Address::Proxy(_));
                if let Some(leader) = leader.filter(|_| direct) {
                    context.send(leader, Packet::Report(Box::new(report)));
                }
            }
        }
        if matches!(from, Address::Proxy(_)) {
            self.tell(context, (from, life), revision);
        }
    }

    /// Tells a proxy what follows the revision it has in force.
    fn tell(
        &mut self,
        context: &mut Context<'_>,
        (proxy, life): (Address, Incarnation),
        in_force: Revision,
    ) {
        let Some(process) = &mut self.process else { return };
        match WatchCursor::new(in_force).advance(&process.feed) {
            WatchStep::UpToDate => {
                let deltas = Vec::new();
                context.send(proxy, Packet::Deltas { after: in_force, deltas });
            }
            WatchStep::Deltas(deltas) => {
                context.send(proxy, Packet::Deltas { after: in_force, deltas });
            }
            WatchStep::Snapshot if context.is(Variant::SnapshotNotProven) => {
                let view = Arc::new(process.state.view());
                context.send(proxy, Packet::Snapshot { life, view });
            }
            WatchStep::Snapshot => {
                process.next_request += 1;
                let request = RequestId(process.next_request);
                process.reads.insert(request, (proxy, life));
                self.step(context, Event::ReadIndex { request });
            }
        }
    }
}
