//! What control and the nodes use over time, and summaries of times.

use super::hollow_fleet::{HollowFleet, HollowNode};
use crate::usage::Usage;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time over which a peak is taken.
const PEAK_WINDOW: Duration = Duration::from_secs(1);

/// Smallest, middle, 99th in a hundred and largest of some values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Number of values.
    pub count: usize,
    /// Smallest.
    pub min: f64,
    /// Median.
    pub median: f64,
    /// 99th percentile, by nearest rank.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Spread {
    /// Of values that are sorted; all zero for none.
    #[must_use]
    pub fn of(sorted: &[f64]) -> Self {
        let count = sorted.len();
        let rank = |percent: usize| {
            let place = (count * percent).div_ceil(100).max(1) - 1;
            sorted.get(place).copied().unwrap_or(0.0)
        };
        Self { count, min: rank(0), median: rank(50), p99: rank(99), max: rank(100) }
    }
}

/// What one control replica used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlUse {
    /// Largest share of a core over a second, percent.
    pub peak_processor_percent: f64,
    /// Share of a core over all the time, percent.
    pub mean_processor_percent: f64,
    /// Largest resident memory, bytes.
    pub peak_resident_bytes: u64,
}

/// What control and the nodes used over a time.
#[derive(Clone, Debug, Default, Serialize)]
pub struct UseOverTime {
    /// Seconds.
    pub seconds: f64,
    /// Each control replica, the costliest first.
    pub controls: Vec<ControlUse>,
    /// Most bytes of a node in a second, both directions, as a mean over the nodes.
    pub node_peak_bytes_per_second: f64,
    /// Bytes of a node in all, as a mean over the nodes.
    pub node_bytes: f64,
}

struct Sample {
    at: Instant,
    controls: Vec<Usage>,
    bytes: u64,
}

/// Samples of one run.
#[derive(Default)]
pub struct Samples {
    samples: Vec<Sample>,
}

impl Samples {
    /// Takes one.
    ///
    /// # Errors
    /// A control replica is gone.
    pub fn take(&mut self, fleet: &HollowFleet) -> eyre::Result<()> {
        let controls: Result<Vec<Usage>, _> =
            fleet.control.controls.iter().map(|control| Usage::of(control.id())).collect();
        let bytes = fleet.nodes.iter().map(HollowNode::bytes).sum();
        self.samples.push(Sample { at: Instant::now(), controls: controls?, bytes });
        Ok(())
    }

    /// Pairs of samples that are a window apart.
    fn windows(&self) -> impl Iterator<Item = (&Sample, &Sample, f64)> {
        self.samples.iter().filter_map(|first| {
            let last = self.samples.iter().find(|it| it.at >= first.at + PEAK_WINDOW)?;
            Some((first, last, (last.at - first.at).as_secs_f64()))
        })
    }

    fn control(&self, place: usize) -> ControlUse {
        let percent = |first: &Sample, last: &Sample, seconds: f64| {
            let used = last.controls[place].processor - first.controls[place].processor;
            used.as_secs_f64() / seconds * 100.0
        };
        let peaks = self.windows().map(|(first, last, seconds)| percent(first, last, seconds));
        let ends = self.samples.first().zip(self.samples.last());
        ControlUse {
            peak_processor_percent: peaks.fold(0.0, f64::max),
            mean_processor_percent: ends
                .map_or(0.0, |(first, last)| percent(first, last, self.seconds())),
            peak_resident_bytes: self
                .samples
                .iter()
                .map(|it| it.controls[place].resident_bytes)
                .max()
                .unwrap_or(0),
        }
    }

    fn seconds(&self) -> f64 {
        let ends = self.samples.first().zip(self.samples.last());
        ends.map_or(0.0, |(first, last)| (last.at - first.at).as_secs_f64())
    }

    /// What was used between the first sample and the last, by this many nodes.
    #[must_use]
    pub fn summary(&self, nodes: usize) -> UseOverTime {
        let nodes = nodes.max(1) as f64;
        let replicas = self.samples.first().map_or(0, |it| it.controls.len());
        let mut controls: Vec<_> = (0..replicas).map(|place| self.control(place)).collect();
        let peak = |it: &ControlUse| it.peak_processor_percent;
        controls.sort_by(|a, b| peak(b).total_cmp(&peak(a)));
        let rates = self.windows().map(|(first, last, seconds)| {
            last.bytes.saturating_sub(first.bytes) as f64 / seconds / nodes
        });
        let ends = self.samples.first().zip(self.samples.last());
        UseOverTime {
            seconds: self.seconds(),
            controls,
            node_peak_bytes_per_second: rates.fold(0.0, f64::max),
            node_bytes: ends.map_or(0.0, |(a, b)| b.bytes.saturating_sub(a.bytes) as f64 / nodes),
        }
    }
}

impl UseOverTime {
    /// Prints it.
    pub fn print(&self) {
        println!(
            "  node: peak {:.0} B/s, {:.0} B in {:.1} s",
            self.node_peak_bytes_per_second, self.node_bytes, self.seconds
        );
        for control in &self.controls {
            println!(
                "  control replica: peak {:.1} % of a core, mean {:.1} %, {:.1} MB",
                control.peak_processor_percent,
                control.mean_processor_percent,
                control.peak_resident_bytes as f64 / 1e6
            );
        }
    }
}

/// The machine's load averages over 1, 5 and 15 minutes, as the system writes them.
#[must_use]
pub fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}
