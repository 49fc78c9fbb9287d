//! Routes the proxies' reports to the leader's duties, and grants of allowances back to the proxies.
//!
//! A replica that isn't the leader forwards reports to the leader. The leader sends grants through the
//! replica that forwarded the gateway's last report.

use super::input::ProxyRevisions;
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::identity::ReplicaId;
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_protocol::cell::{ProxyReport, ProxyRevision};
use tokio::sync::oneshot;

impl ConsensusThread {
    pub(super) fn handle_local_reports(&mut self, reports: Vec<ProxyReport>) {
        if self.is_leader() {
            self.handle_reports(reports);
        } else if let Some(leader) = self.parts.replica.leader() {
            // A lost message does no harm: the next full summary repeats its reports.
            self.parts.links.send(leader, PeerMessage::Proxies { reports });
        }
    }

    /// Passes reports to the leader's duties. A replica that isn't the leader (any more) drops them: the
    /// proxies' replicas send their next reports to the new leader.
    pub(super) fn handle_reports(&mut self, reports: Vec<ProxyReport>) {
        if !self.is_leader() {
            return;
        }
        for report in &reports {
            record_revision(&mut self.proxy_revisions, report);
        }
        self.parts.duties.record_reports(self.parts.clock.now(), reports, &self.parts.state);
    }

    /// Answers or forwards the allowance report of a proxy that is connected to this replica. A report may
    /// be lost or reach a replica that isn't the leader: the proxy's next report replaces it.
    pub(super) fn handle_local_allowances(&mut self, report: AllowanceReport) {
        if self.is_leader() {
            self.answer_allowances(None, report);
        } else if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::AllowanceReport(report));
        }
    }

    /// Answers an allowance report. `through` is the replica that forwarded the report, or `None` if the
    /// proxy is connected to this replica.
    pub(super) fn answer_allowances(
        &mut self,
        through: Option<ReplicaId>,
        report: AllowanceReport,
    ) {
        let now = self.parts.clock.now();
        self.grant_routes.insert(report.gateway.clone(), through);
        let grants = self.parts.duties.answer_allowances(now, report, &self.parts.state);
        self.send_grants(grants);
    }

    /// Sends each grant through the replica that forwarded the gateway's last report.
    pub(super) fn send_grants(&self, grants: Vec<AllowanceGrant>) {
        for grant in grants {
            match self.grant_routes.get(&grant.gateway) {
                Some(Some(replica)) => {
                    self.parts.links.send(*replica, PeerMessage::AllowanceGrant(grant));
                }
                _ => self.parts.proxies.send_grant(grant),
            }
        }
    }

    pub(super) fn query_revisions(&mut self, reply: oneshot::Sender<ProxyRevisions>) {
        if self.is_leader() {
            drop(reply.send(self.proxy_revisions.clone()));
            return;
        }
        self.last_query += 1;
        let request = self.last_query;
        let Some(leader) = self.parts.replica.leader() else { return };
        if self.parts.links.send(leader, PeerMessage::QueryProxies { request }) {
            self.revision_queries.insert(request, reply);
        }
    }

    pub(super) fn answer_revision_query(&mut self, from: ReplicaId, request: u64) {
        let revision = |(proxy, (incarnation, revision)): (&_, &(_, _))| ProxyRevision {
            proxy: Clone::clone(proxy),
            incarnation: *incarnation,
            revision: *revision,
        };
        let revisions = match self.is_leader() {
            true => self.proxy_revisions.iter().map(revision).collect(),
            false => Vec::new(),
        };
        self.parts.links.send(from, PeerMessage::ProxyRevisions { request, revisions });
    }

    pub(super) fn handle_revisions(&mut self, request: u64, revisions: Vec<ProxyRevision>) {
        let Some(reply) = self.revision_queries.remove(&request) else { return };
        let entry =
            |reported: ProxyRevision| (reported.proxy, (reported.incarnation, reported.revision));
        drop(reply.send(revisions.into_iter().map(entry).collect()));
    }
}

/// Stores the reported revision. The revision of a proxy only rises within an incarnation, so a lower one
/// comes from a delayed report and is ignored.
fn record_revision(revisions: &mut ProxyRevisions, report: &ProxyReport) {
    let reported = (report.incarnation, report.revision);
    let entry = revisions.entry(report.proxy.clone()).or_insert(reported);
    if entry.0 != report.incarnation || entry.1 < report.revision {
        *entry = reported;
    }
}
