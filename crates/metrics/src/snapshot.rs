//! The values of all metrics at a point in time.

use std::collections::BTreeMap;

/// Value of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// A total that only increases.
    Counter(u64),
    /// A current value.
    Gauge(f64),
}

/// The value of one series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the metric family.
    pub name: &'static str,
    /// Statistic of a histogram (`count`, `p50` to `p999`, `max`); empty for counters and gauges.
    pub statistic: &'static str,
    /// Name and value of the tag; `None` if the family has only one series.
    pub tag: Option<(&'static str, String)>,
    /// Value of the series.
    pub value: MetricValue,
}

impl Sample {
    fn series_key(&self) -> SeriesKey<'_> {
        (self.name, self.statistic, self.tag.as_ref().map(|(_, value)| value.as_str()))
    }
}

/// Identifies a series by its name, statistic and tag value.
type SeriesKey<'a> = (&'static str, &'static str, Option<&'a str>);

/// The values of all series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSnapshot {
    /// Time of the snapshot, in Unix microseconds.
    pub timestamp: u64,
    /// Samples of all series.
    pub samples: Vec<Sample>,
}

impl MetricsSnapshot {
    /// Returns the snapshot with each counter replaced by its increment since an earlier snapshot of the same
    /// process.
    ///
    /// For a series that the earlier snapshot lacks, the increment is counted from zero. Gauges are
    /// unchanged.
    pub fn since(&self, earlier: Option<&MetricsSnapshot>) -> MetricsSnapshot {
        let counter_total = |value: &MetricValue| match value {
            MetricValue::Counter(total) => Some(*total),
            MetricValue::Gauge(_) => None,
        };
        let earlier_totals: BTreeMap<SeriesKey, u64> = earlier
            .iter()
            .flat_map(|snapshot| &snapshot.samples)
            .filter_map(|sample| Some((sample.series_key(), counter_total(&sample.value)?)))
            .collect();
        let increment = |sample: &Sample| match sample.value {
            MetricValue::Counter(total) => {
                let earlier_total = earlier_totals.get(&sample.series_key()).copied().unwrap_or(0);
                let value = MetricValue::Counter(total.saturating_sub(earlier_total));
                Sample { value, ..sample.clone() }
            }
            MetricValue::Gauge(_) => sample.clone(),
        };
        let samples = self.samples.iter().map(increment).collect();
        MetricsSnapshot { timestamp: self.timestamp, samples }
    }
}
