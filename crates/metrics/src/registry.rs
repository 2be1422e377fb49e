//! The registry of the current values of all metrics.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::families::{METRIC_FAMILIES, MetricDescriptor, MetricFamily, MetricKind};
use crate::snapshot::{MetricValue, MetricsSnapshot, Sample};
use crate::stored::{CounterState, HistogramState, StoredMetrics};

/// Maximum value in a histogram, in microseconds. Larger values are recorded as this value.
const MAX_HISTOGRAM_MICROS: u64 = 3_600_000_000;
/// Number of significant decimal digits of values in histograms; with 2, quantiles are accurate to 1%.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Exported quantiles of histograms, each with the name of its statistic.
pub const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];
/// Value of a dynamic tag whose series sums all tag values beyond the series cap.
pub const OTHERS_TAG_VALUE: &str = "others";

/// Current state of one series.
#[derive(Clone, Debug)]
enum MetricCell {
    Counter(u64),
    Gauge(f64),
    Histogram(Box<Histogram<u64>>),
}

impl MetricCell {
    fn new(kind: MetricKind) -> MetricCell {
        match kind {
            MetricKind::Counter => MetricCell::Counter(0),
            MetricKind::Gauge => MetricCell::Gauge(0.0),
            MetricKind::Histogram => {
                let histogram = Histogram::new_with_bounds(1, MAX_HISTOGRAM_MICROS, SIGNIFICANT_DIGITS);
                MetricCell::Histogram(Box::new(histogram.expect("the bounds are valid constants")))
            }
        }
    }

    /// Adds to a counter. Has no effect on other kinds.
    fn add(&mut self, count: u64) {
        if let MetricCell::Counter(total) = self {
            *total = total.saturating_add(count);
        }
    }

    /// Returns the total of a counter, and 0 for other kinds.
    fn total(&self) -> u64 {
        match self {
            MetricCell::Counter(total) => *total,
            MetricCell::Gauge(_) | MetricCell::Histogram(_) => 0,
        }
    }
}

/// Index of a metric family and value of its dynamic tag.
type DynamicKey = (usize, String);

/// Counters, gauges and histograms of a relay.
///
/// Families without a tag, and those whose tag values are listed in [`METRIC_FAMILIES`], have all their
/// series from the start. A dynamic tag gets a series for each new value up to a cap; further values are
/// summed under [`OTHERS_TAG_VALUE`], which bounds memory and the size of exports.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    /// Series of each family without a dynamic tag, in the order of its tag values.
    fixed: Vec<Vec<MetricCell>>,
    /// Series of families with a dynamic tag.
    dynamic: BTreeMap<DynamicKey, MetricCell>,
    /// Maximum number of values of a dynamic tag that have their own series.
    series_cap: usize,
    /// Totals restored from storage, for families with a dynamic tag.
    restored: BTreeMap<DynamicKey, u64>,
}

impl MetricsRegistry {
    /// Creates a registry in which at most `series_cap` values of each dynamic tag have their own series.
    pub fn new(series_cap: usize) -> MetricsRegistry {
        let cells = |family: &MetricDescriptor| {
            let count = if family.tag.is_empty() { 1 } else { family.tag_values.len() };
            (0..count).map(|_| MetricCell::new(family.kind)).collect()
        };
        MetricsRegistry {
            fixed: METRIC_FAMILIES.iter().map(cells).collect(),
            dynamic: BTreeMap::new(),
            series_cap,
            restored: BTreeMap::new(),
        }
    }

    fn cell(&mut self, family: MetricFamily, index: usize) -> Option<&mut MetricCell> {
        self.fixed.get_mut(family as usize)?.get_mut(index)
    }

    /// Adds to a counter. `index` is the index of the tag value in the descriptor, or 0 if the family has no
    /// tag. An unknown index is ignored.
    pub fn add(&mut self, family: MetricFamily, index: usize, count: u64) {
        if let Some(cell) = self.cell(family, index) {
            cell.add(count);
        }
    }

    /// Adds one to the counter with a tag value. An unknown tag value is ignored.
    pub fn increment(&mut self, family: MetricFamily, tag_value: &str) {
        if let Some(index) = family.descriptor().tag_values.iter().position(|value| *value == tag_value) {
            self.add(family, index, 1);
        }
    }

    /// Creates the counter for a value of a dynamic tag, even beyond the series cap.
    pub fn register_dynamic(&mut self, family: MetricFamily, tag_value: &str) {
        self.dynamic.entry((family as usize, tag_value.to_owned())).or_insert(MetricCell::Counter(0));
    }

    /// Returns the total for a value of a dynamic tag since the start of this process, without restored
    /// counts.
    pub fn total_since_start(&self, family: MetricFamily, tag_value: &str) -> u64 {
        let key = (family as usize, tag_value.to_owned());
        let total = self.dynamic.get(&key).map_or(0, MetricCell::total);
        total.saturating_sub(self.restored.get(&key).copied().unwrap_or(0))
    }

    /// Adds to the counter for a value of a dynamic tag.
    pub fn add_dynamic(&mut self, family: MetricFamily, tag_value: &str, count: u64) {
        self.add_dynamic_at(family as usize, tag_value, count);
    }

    fn add_dynamic_at(&mut self, family: usize, tag_value: &str, count: u64) {
        let key = (family, tag_value.to_owned());
        if let Some(cell) = self.dynamic.get_mut(&key) {
            return cell.add(count);
        }
        // `OTHERS_TAG_VALUE` does not count towards the cap, so that restored values keep their own series.
        let all = self.dynamic.range((family, String::new())..(family + 1, String::new()));
        let series = all.filter(|((_, value), _)| value != OTHERS_TAG_VALUE).count();
        let has_own_series = series < self.series_cap || tag_value == OTHERS_TAG_VALUE;
        let key = if has_own_series { key } else { (family, OTHERS_TAG_VALUE.to_owned()) };
        self.dynamic.entry(key).or_insert(MetricCell::Counter(0)).add(count);
    }

    /// Sets the value of a gauge.
    pub fn set(&mut self, family: MetricFamily, value: f64) {
        if let Some(MetricCell::Gauge(gauge)) = self.cell(family, 0) {
            *gauge = value;
        }
    }

    /// Records a duration in microseconds in a histogram.
    pub fn record(&mut self, family: MetricFamily, micros: u64) {
        if let Some(MetricCell::Histogram(histogram)) = self.cell(family, 0) {
            histogram.saturating_record(micros);
        }
    }

    /// Returns the total of a counter; 0 if `index` is unknown. For tests and reports.
    pub fn total(&self, family: MetricFamily, index: usize) -> u64 {
        let cell = self.fixed.get(family as usize).and_then(|cells| cells.get(index));
        cell.map_or(0, MetricCell::total)
    }

    /// Returns the counters and histograms to store on disk. `timestamp` is in Unix microseconds.
    pub fn to_stored(&self, relay: &str, timestamp: u64, incarnation: u64) -> StoredMetrics {
        let mut stored =
            StoredMetrics { relay: relay.to_owned(), timestamp, incarnation, ..StoredMetrics::default() };
        for (family, tag_value, cell) in self.cells() {
            let name = family.name.to_owned();
            match cell {
                MetricCell::Counter(0) | MetricCell::Gauge(_) => {}
                MetricCell::Counter(total) => {
                    let tag_value = tag_value.unwrap_or_default().to_owned();
                    stored.counters.push(CounterState { name, tag_value, total: *total });
                }
                MetricCell::Histogram(histogram) => {
                    let counts =
                        histogram.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value()));
                    stored.histograms.push(HistogramState { name, counts: counts.collect() });
                }
            }
        }
        stored
    }

    /// Adds stored counters and histograms. Returns the number of those that this version of the program does
    /// not know.
    pub fn restore(&mut self, stored: &StoredMetrics) -> usize {
        let unknown_counters =
            stored.counters.iter().filter(|counter| self.restore_counter(counter).is_none()).count();
        let unknown_histograms =
            stored.histograms.iter().filter(|histogram| self.restore_histogram(histogram).is_none()).count();
        unknown_counters + unknown_histograms
    }

    /// Adds a stored counter. Returns `None` if its name or tag value is unknown.
    fn restore_counter(&mut self, counter: &CounterState) -> Option<()> {
        let family = family_index(&counter.name)?;
        let descriptor = &METRIC_FAMILIES[family];
        let index = match descriptor.tag {
            "" => Some(0),
            _ => descriptor.tag_values.iter().position(|value| *value == counter.tag_value),
        };
        match index {
            Some(index) => {
                if let Some(cell) = self.fixed[family].get_mut(index) {
                    cell.add(counter.total);
                }
            }
            None if descriptor.tag_values.is_empty() => {
                *self.restored.entry((family, counter.tag_value.clone())).or_insert(0) += counter.total;
                self.add_dynamic_at(family, &counter.tag_value, counter.total);
            }
            None => return None,
        }
        Some(())
    }

    /// Adds a stored histogram. Returns `None` if its name is unknown.
    fn restore_histogram(&mut self, stored: &HistogramState) -> Option<()> {
        let family = family_index(&stored.name)?;
        let Some(MetricCell::Histogram(histogram)) = self.fixed[family].first_mut() else { return None };
        stored.counts.iter().for_each(|(value, count)| histogram.saturating_record_n(*value, *count));
        Some(())
    }

    /// Returns all current values. `timestamp` is in Unix microseconds.
    ///
    /// A histogram has a sample for its count and, unless it is empty, for each quantile and the maximum.
    pub fn snapshot(&self, timestamp: u64) -> MetricsSnapshot {
        let mut samples = Vec::new();
        for (family, tag_value, cell) in self.cells() {
            let tag = tag_value.map(|value| (family.tag, value.to_owned()));
            push_samples(&mut samples, family.name, tag, cell);
        }
        MetricsSnapshot { timestamp, samples }
    }

    /// Returns all series with their family and tag value: first those of fixed tags, then those of dynamic
    /// tags.
    fn cells(&self) -> impl Iterator<Item = (&'static MetricDescriptor, Option<&str>, &MetricCell)> {
        let fixed = METRIC_FAMILIES.iter().zip(&self.fixed).flat_map(|(family, cells)| {
            cells
                .iter()
                .enumerate()
                .map(move |(index, cell)| (family, family.tag_values.get(index).copied(), cell))
        });
        let dynamic = self.dynamic.iter();
        fixed.chain(
            dynamic.map(|((family, value), cell)| (&METRIC_FAMILIES[*family], Some(value.as_str()), cell)),
        )
    }
}

fn family_index(name: &str) -> Option<usize> {
    METRIC_FAMILIES.iter().position(|family| family.name == name)
}

fn push_samples(
    samples: &mut Vec<Sample>, name: &'static str, tag: Option<(&'static str, String)>, cell: &MetricCell,
) {
    let mut push = |statistic, value| samples.push(Sample { name, statistic, tag: tag.clone(), value });
    match cell {
        MetricCell::Counter(total) => push("", MetricValue::Counter(*total)),
        MetricCell::Gauge(gauge) => push("", MetricValue::Gauge(*gauge)),
        MetricCell::Histogram(histogram) => {
            push("count", MetricValue::Counter(histogram.len()));
            if !histogram.is_empty() {
                for (statistic, quantile) in QUANTILES {
                    push(statistic, MetricValue::Gauge(histogram.value_at_quantile(quantile) as f64));
                }
                push("max", MetricValue::Gauge(histogram.max() as f64));
            }
        }
    }
}
