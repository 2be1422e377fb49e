//! Totals, gauges and histograms.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::families::{METRIC_FAMILIES, MetricFamily, MetricKind};
use crate::stored::{CounterState, HistogramState, StoredMetrics};

/// The largest value of a histogram: an hour, in microseconds. Larger ones count as this.
const LARGEST: u64 = 3_600_000_000;
/// Significant digits of histograms: a quantile is off by 1% at most.
const DIGITS: u8 = 2;
/// The quantiles that are told, with the words that name them.
pub const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p999", 0.999)];
/// What the tag says of all series beyond the cap.
pub const OTHERS: &str = "others";

/// What a family's series holds.
#[derive(Clone, Debug)]
enum MetricCell {
    Counter(u64),
    Gauge(f64),
    Histogram(Box<Histogram<u64>>),
}

/// A value at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// A total.
    Counter(u64),
    /// A value now.
    Gauge(f64),
}

/// One series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The family's name.
    pub name: &'static str,
    /// The statistic of a histogram (`count`, `p50` ... `max`); empty elsewhere.
    pub part: &'static str,
    /// The tag's name and value; none where the family has one series.
    pub tag: Option<(&'static str, String)>,
    /// What it held.
    pub value: MetricValue,
}

/// All series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSnapshot {
    /// Unix microseconds.
    pub at: u64,
    /// The points, by family.
    pub points: Vec<Sample>,
}

/// What a relay counts.
///
/// Families whose tag values are stated in the table have their cells from the start. Others, by site, take a cell
/// for each new value up to a cap; what comes beyond it is summed under [`OTHERS`], which memory and sinks are bounded by.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    fixed: Vec<Vec<MetricCell>>,
    open: BTreeMap<(usize, String), MetricCell>,
    cap: usize,
    /// What of the totals of open tags is of earlier lives.
    earlier: BTreeMap<(usize, String), u64>,
}

fn cell(kind: MetricKind) -> MetricCell {
    match kind {
        MetricKind::Counter => MetricCell::Counter(0),
        MetricKind::Gauge => MetricCell::Gauge(0.0),
        // The bounds are constants, and sound.
        MetricKind::Histogram => MetricCell::Histogram(Box::new(
            Histogram::new_with_bounds(1, LARGEST, DIGITS).expect("sound bounds"),
        )),
    }
}

impl MetricsSnapshot {
    /// The same with each total as what it has grown by since an earlier reading of the same life.
    ///
    /// Where a relay's totals die with it, a receiver of these counts can neither see a fall nor take a total for new
    /// traffic; what it must not do is miss a reading, so they are kept until they are sent.
    pub fn since(&self, earlier: Option<&MetricsSnapshot>) -> MetricsSnapshot {
        let key = |p: &Sample| (p.name, p.part, p.tag.as_ref().map(|(_, value)| value.clone()));
        let before: BTreeMap<_, u64> = earlier
            .iter()
            .flat_map(|r| &r.points)
            .filter_map(
                |p| if let MetricValue::Counter(total) = p.value { Some((key(p), total)) } else { None },
            )
            .collect();
        let grown = |p: &Sample| match p.value {
            MetricValue::Counter(total) => {
                let was = before.get(&key(p)).copied().unwrap_or(0);
                Sample { value: MetricValue::Counter(total.saturating_sub(was)), ..p.clone() }
            }
            MetricValue::Gauge(_) => p.clone(),
        };
        MetricsSnapshot { at: self.at, points: self.points.iter().map(grown).collect() }
    }
}

impl MetricsRegistry {
    /// An empty book with so many values, at the most, for each tag that is open.
    pub fn new(cap: usize) -> MetricsRegistry {
        let fixed = METRIC_FAMILIES.iter().map(|name| match (name.tag, name.values.len()) {
            ("", _) => vec![cell(name.kind)],
            (_, count) => (0..count).map(|_| cell(name.kind)).collect(),
        });
        MetricsRegistry { fixed: fixed.collect(), open: BTreeMap::new(), cap, earlier: BTreeMap::new() }
    }

    fn cell(&mut self, family: MetricFamily, place: usize) -> Option<&mut MetricCell> {
        self.fixed.get_mut(family as usize)?.get_mut(place)
    }

    /// Adds to a total. `place` is the tag value's place in the table, 0 where there is no tag; one that is not there
    /// counts nothing.
    pub fn add(&mut self, family: MetricFamily, place: usize, count: u64) {
        if let Some(MetricCell::Counter(total)) = self.cell(family, place) {
            *total = total.saturating_add(count);
        }
    }

    /// Adds one to the total whose tag has this value.
    pub fn increment(&mut self, family: MetricFamily, value: &str) {
        if let Some(place) = family.descriptor().values.iter().position(|v| *v == value) {
            self.add(family, place, 1);
        }
    }

    /// Has a total of an open tag stand from now on, whatever the cap: for values that the settings name.
    pub fn register_dynamic(&mut self, family: MetricFamily, value: &str) {
        self.open.entry((family as usize, value.to_owned())).or_insert(MetricCell::Counter(0));
    }

    /// A total of an open tag as this life alone has counted it.
    pub fn own_total(&self, family: MetricFamily, value: &str) -> u64 {
        let key = (family as usize, value.to_owned());
        let total = match self.open.get(&key) {
            Some(MetricCell::Counter(total)) => *total,
            _ => 0,
        };
        total.saturating_sub(self.earlier.get(&key).copied().unwrap_or(0))
    }

    /// Adds to a total of an open tag.
    pub fn add_dynamic(&mut self, family: MetricFamily, value: &str, count: u64) {
        self.add_value(family as usize, value, count);
    }

    fn add_value(&mut self, family: usize, value: &str, count: u64) {
        let key = (family, value.to_owned());
        if let Some(MetricCell::Counter(total)) = self.open.get_mut(&key) {
            *total = total.saturating_add(count);
            return;
        }
        // The sum of the rest has a place of its own. Guards against a name that lasted being summed after a restart.
        let all = self.open.range((family, String::new())..(family + 1, String::new()));
        let there = all.filter(|((_, value), _)| value != OTHERS).count();
        let key = if there < self.cap || value == OTHERS { key } else { (family, OTHERS.to_owned()) };
        let kept = self.open.entry(key).or_insert(MetricCell::Counter(0));
        if let MetricCell::Counter(total) = kept {
            *total = total.saturating_add(count);
        }
    }

    /// Sets a gauge.
    pub fn set(&mut self, family: MetricFamily, value: f64) {
        if let Some(MetricCell::Gauge(gauge)) = self.cell(family, 0) {
            *gauge = value;
        }
    }

    /// Records a span in microseconds.
    pub fn record(&mut self, family: MetricFamily, us: u64) {
        if let Some(MetricCell::Histogram(histogram)) = self.cell(family, 0) {
            histogram.saturating_record(us);
        }
    }

    /// All that lasts of it: totals and histograms.
    pub fn stored(&self, relay: &str, at: u64, lives: u64) -> StoredMetrics {
        let mut state = StoredMetrics { relay: relay.to_owned(), at, lives, ..StoredMetrics::default() };
        let fixed = self.fixed.iter().enumerate().flat_map(|(family, cells)| {
            let name = &METRIC_FAMILIES[family];
            cells
                .iter()
                .enumerate()
                .map(move |(i, cell)| (name, name.values.get(i).copied().unwrap_or(""), cell))
        });
        let open =
            self.open.iter().map(|((family, value), cell)| (&METRIC_FAMILIES[*family], value.as_str(), cell));
        for (name, value, cell) in fixed.chain(open) {
            let name = name.name.to_owned();
            match cell {
                MetricCell::Counter(0) | MetricCell::Gauge(_) => {}
                MetricCell::Counter(total) => {
                    state.counters.push(CounterState { name, value: value.to_owned(), total: *total });
                }
                MetricCell::Histogram(h) => {
                    let counts = h.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value()));
                    state.histograms.push(HistogramState { name, counts: counts.collect() });
                }
            }
        }
        state
    }

    /// Adds what an earlier life has counted. Names that this program does not know are passed over and counted.
    pub fn restore(&mut self, state: &StoredMetrics) -> usize {
        let family = |name: &str| METRIC_FAMILIES.iter().position(|n| n.name == name);
        let mut unknown = 0;
        for total in &state.counters {
            let Some(place) = family(&total.name) else {
                unknown += 1;
                continue;
            };
            let name = &METRIC_FAMILIES[place];
            let fixed = match name.tag {
                "" => Some(0),
                _ => name.values.iter().position(|v| *v == total.value),
            };
            match fixed {
                Some(i) => {
                    if let Some(MetricCell::Counter(held)) = self.fixed[place].get_mut(i) {
                        *held = held.saturating_add(total.total);
                    }
                }
                None if name.values.is_empty() => {
                    *self.earlier.entry((place, total.value.clone())).or_insert(0) += total.total;
                    self.add_value(place, &total.value, total.total);
                }
                None => unknown += 1,
            }
        }
        for histogram_state in &state.histograms {
            let found = family(&histogram_state.name).and_then(|place| self.fixed[place].first_mut());
            let Some(MetricCell::Histogram(histogram)) = found else {
                unknown += 1;
                continue;
            };
            histogram_state
                .counts
                .iter()
                .for_each(|(value, count)| histogram.saturating_record_n(*value, *count));
        }
        unknown
    }

    /// A total, for tests and reports.
    pub fn total(&self, family: MetricFamily, place: usize) -> u64 {
        match self.fixed.get(family as usize).and_then(|cells| cells.get(place)) {
            Some(MetricCell::Counter(total)) => *total,
            _ => 0,
        }
    }

    /// What it holds now. A histogram is told by its count, a total, and by quantiles of all that it has held; one that
    /// is empty has none.
    pub fn snapshot(&self, at: u64) -> MetricsSnapshot {
        let mut points = Vec::new();
        for (family, cells) in self.fixed.iter().enumerate() {
            let name = &METRIC_FAMILIES[family];
            for (place, cell) in cells.iter().enumerate() {
                let tag = name.values.get(place).map(|value| (name.tag, (*value).to_owned()));
                push(&mut points, name.name, tag, cell);
            }
        }
        for ((family, value), cell) in &self.open {
            let name = &METRIC_FAMILIES[*family];
            push(&mut points, name.name, Some((name.tag, value.clone())), cell);
        }
        MetricsSnapshot { at, points }
    }
}

fn push(
    points: &mut Vec<Sample>, name: &'static str, tag: Option<(&'static str, String)>, cell: &MetricCell,
) {
    let mut point = |part, value| points.push(Sample { name, part, tag: tag.clone(), value });
    match cell {
        MetricCell::Counter(total) => point("", MetricValue::Counter(*total)),
        MetricCell::Gauge(gauge) => point("", MetricValue::Gauge(*gauge)),
        MetricCell::Histogram(h) => {
            point("count", MetricValue::Counter(h.len()));
            if !h.is_empty() {
                QUANTILES
                    .iter()
                    .for_each(|(part, q)| point(part, MetricValue::Gauge(h.value_at_quantile(*q) as f64)));
                point("max", MetricValue::Gauge(h.max() as f64));
            }
        }
    }
}
