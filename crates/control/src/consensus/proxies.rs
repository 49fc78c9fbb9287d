//! What proxies report, on its way to the leader's duties, and what goes back to them.
//!
//! A replica that does not lead passes reports on to the leader. Grants go back the way that the
//! gateway's last report came, which the thread keeps.

use super::input::ProxyRevisions;
use super::thread::ConsensusThread;
use crate::cell::PeerMessage;
use corktack_core::identity::ReplicaId;
use corktack_core::limits::{AllowanceGrant, AllowanceReport};
use corktack_protocol::cell::{ProxyReport, ProxyRevision};
use tokio::sync::oneshot;

impl ConsensusThread {
    pub(super) fn take_own_reports(&mut self, reports: Vec<ProxyReport>) {
        if self.leads() {
            self.take_reports(reports);
        } else if let Some(leader) = self.parts.replica.leader() {
            // A lost summary is made good by the next full one.
            self.parts.links.send(leader, PeerMessage::Proxies { reports });
        }
    }

    /// Reports that reach a replica which does not lead (any more) are dropped:
    /// the proxies' replicas send the next ones to the new leader.
    pub(super) fn take_reports(&mut self, reports: Vec<ProxyReport>) {
        if !self.leads() {
            return;
        }
        for report in &reports {
            note_revision(&mut self.proxy_revisions, report);
        }
        self.parts.duties.take_reports(self.parts.clock.now(), reports, &self.parts.state);
    }

    /// A report that is lost, or that comes to a replica which does not lead, is made good by the
    /// next one.
    pub(super) fn take_own_allowances(&mut self, report: AllowanceReport) {
        if self.leads() {
            self.answer_allowances(None, report);
        } else if let Some(leader) = self.parts.replica.leader() {
            self.parts.links.send(leader, PeerMessage::AllowanceReport(report));
        }
    }

    /// Answers a report that came through another replica, or from a proxy that is connected here.
    pub(super) fn answer_allowances(
        &mut self,
        through: Option<ReplicaId>,
        report: AllowanceReport,
    ) {
        let now = self.parts.clock.now();
        self.grant_routes.insert(report.gateway.clone(), through);
        let grants = self.parts.duties.take_allowances(now, report, &self.parts.state);
        self.send_grants(grants);
    }

    /// Sends grants by the way that the gateways' last reports came.
    pub(super) fn send_grants(&self, grants: Vec<AllowanceGrant>) {
        for grant in grants {
            match self.grant_routes.get(&grant.gateway) {
                Some(Some(replica)) => {
                    self.parts.links.send(*replica, PeerMessage::AllowanceGrant(grant));
                }
                _ => self.parts.proxies.grant(grant),
            }
        }
    }

    pub(super) fn query_revisions(&mut self, reply: oneshot::Sender<ProxyRevisions>) {
        if self.leads() {
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

    pub(super) fn answer_query(&mut self, from: ReplicaId, request: u64) {
        let revision = |(proxy, (incarnation, revision)): (&_, &(_, _))| ProxyRevision {
            proxy: Clone::clone(proxy),
            incarnation: *incarnation,
            revision: *revision,
        };
        let revisions = match self.leads() {
            true => self.proxy_revisions.iter().map(revision).collect(),
            false => Vec::new(),
        };
        self.parts.links.send(from, PeerMessage::ProxyRevisions { request, revisions });
    }

    pub(super) fn take_revisions(&mut self, request: u64, revisions: Vec<ProxyRevision>) {
        let Some(reply) = self.revision_queries.remove(&request) else { return };
        let entry = |it: ProxyRevision| (it.proxy, (it.incarnation, it.revision));
        drop(reply.send(revisions.into_iter().map(entry).collect()));
    }
}

/// Within one incarnation of a proxy its revision only rises, so a late report changes nothing.
fn note_revision(revisions: &mut ProxyRevisions, report: &ProxyReport) {
    let reported = (report.incarnation, report.revision);
    let entry = revisions.entry(report.proxy.clone()).or_insert(reported);
    if entry.0 != report.incarnation || entry.1 < report.revision {
        *entry = reported;
    }
}
