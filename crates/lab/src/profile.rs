//! Workloads and topologies of the two users: sizes, regions, latencies and priority classes.
//!
//! The plan of a fleet and the load on it are both derived from a profile.

use std::time::Duration;

/// Workload and topology of one user.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name on the command line, and prefix of the group names.
    pub name: String,
    /// Names of the regions, each with one site.
    pub regions: Vec<String>,
    /// Number of database groups.
    pub groups: u32,
    /// Members per group.
    pub members: u32,
    /// Slots per group.
    pub slots: u32,
    /// Server connections per group, and number of callers per group.
    pub connections: u32,
    /// One-way latency between zones.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// One-way latency between callers and their proxy.
    pub caller_latency: Duration,
    /// Operations per second that all callers of one group start together. The rate is low
    /// enough for the stand-in, which has a single writer.
    pub arrivals_per_second: f64,
    /// Fraction of operations that write.
    pub write_fraction: f64,
    /// Fraction of operations before which the caller switches to another proxy.
    pub endpoint_switch_fraction: f64,
    /// Priority classes with their fraction of the callers, highest priority first.
    pub classes: Vec<ClassShare>,
}

/// A priority class and the fraction of the callers in it.
#[derive(Clone, Debug)]
pub struct ClassShare {
    /// Name of the class, and of the user that is bound to it.
    pub name: String,
    /// Priority; a higher number is served first.
    pub priority: u32,
    /// Percentage of grants that the class is guaranteed under contention.
    pub guaranteed_percent: u8,
    /// Fraction of the callers, from 0 to 1.
    pub fraction: f64,
}

impl Profile {
    /// Returns the profile of CARTE, the shared lookup service of the carriers' chamber.
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
            write_fraction: 0.2,
            endpoint_switch_fraction: 0.01,
            classes: vec![
                class_share("fraud", 100, 0, 0.3),
                class_share("court", 50, 10, 0.3),
                class_share("billing", 10, 10, 0.4),
            ],
        }
    }

    /// Returns the profile of the huts, the booking service of the members' association.
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
            write_fraction: 0.05,
            endpoint_switch_fraction: 0.02,
            classes: vec![
                class_share("hosts", 100, 0, 0.2),
                class_share("members", 50, 10, 0.5),
                class_share("schools", 10, 10, 0.3),
            ],
        }
    }

    /// Returns the profile of the given name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::carte(), Self::huts()].into_iter().find(|profile| profile.name == name)
    }
}

fn class_share(name: &str, priority: u32, guaranteed_percent: u8, fraction: f64) -> ClassShare {
    ClassShare { name: name.to_owned(), priority, guaranteed_percent, fraction }
}
