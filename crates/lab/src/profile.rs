//! The two users' workloads and places, as constants of the lab.
//!
//! Owns numbers, regions, latencies and priority classes; both fleets and loads are drawn from it.

use std::time::Duration;

/// A user's workload and places.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Short name.
    pub name: String,
    /// Names of the regions, one site each.
    pub regions: Vec<String>,
    /// Database groups.
    pub groups: u32,
    /// Members of a group.
    pub members: u32,
    /// Slots of a group.
    pub slots: u32,
    /// Server connections of a group; also callers a group.
    pub connections: u32,
    /// One-way latency between zones.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// One-way latency to callers.
    pub caller_latency: Duration,
    /// Operations a second that all callers of one group start together; a choice of ours
    /// that the stand-in, which has one writer, can serve.
    pub arrivals_per_second: f64,
    /// Share of operations that write.
    pub write_share: f64,
    /// Share of operations after which the caller moves to another proxy.
    pub roaming_share: f64,
    /// Priority classes with their share of the callers, highest first.
    pub classes: Vec<ClassShare>,
}

/// A priority class and how many of the callers are in it.
#[derive(Clone, Debug)]
pub struct ClassShare {
    /// Name of the class, and of the user that is bound to it.
    pub name: String,
    /// Its priority.
    pub priority: u32,
    /// Grants guaranteed under contention, in percent.
    pub guaranteed_percent: u8,
    /// Share of the callers.
    pub share: f64,
}

impl Profile {
    /// CARTE: the shared lookup service of the carriers' chamber.
    #[must_use]
    pub fn carte() -> Self {
        Self {
            name: "carte".to_owned(),
            regions: ["amba", "cordoba", "cuyo"].map(str::to_owned).to_vec(),
            groups: 3,
            members: 3,
            slots: 5,
            connections: 40,
            zone_latency: Duration::from_micros(1_500),
            region_latency: Duration::from_millis(20),
            caller_latency: Duration::from_millis(3),
            arrivals_per_second: 40.0,
            write_share: 0.2,
            roaming_share: 0.01,
            classes: vec![
                class("fraud", 100, 0, 0.3),
                class("court", 50, 10, 0.3),
                class("billing", 10, 10, 0.4),
            ],
        }
    }

    /// The huts: bookings of the members' association.
    #[must_use]
    pub fn huts() -> Self {
        Self {
            name: "huts".to_owned(),
            regions: ["vest", "ost", "nord"].map(str::to_owned).to_vec(),
            groups: 3,
            members: 3,
            slots: 10,
            connections: 100,
            zone_latency: Duration::from_micros(500),
            region_latency: Duration::from_millis(10),
            caller_latency: Duration::from_millis(3),
            arrivals_per_second: 200.0,
            write_share: 0.05,
            roaming_share: 0.02,
            classes: vec![
                class("hosts", 100, 0, 0.2),
                class("members", 50, 10, 0.5),
                class("schools", 10, 10, 0.3),
            ],
        }
    }

    /// The profile of that name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::carte(), Self::huts()].into_iter().find(|profile| profile.name == name)
    }
}

fn class(name: &str, priority: u32, guaranteed_percent: u8, share: f64) -> ClassShare {
    ClassShare { name: name.to_owned(), priority, guaranteed_percent, share }
}
