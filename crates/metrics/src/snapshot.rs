//! The values of all metrics at a point in time.

use std::collections::BTreeMap;

/// A value at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// A total that only grows.
    Counter(u64),
    /// A current value.
    Gauge(f64),
}

/// One series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The metric family's name.
    pub name: &'static str,
    /// The statistic of a histogram (`count`, `p50` to `p999`, `max`); empty elsewhere.
    pub statistic: &'static str,
    /// The tag's name and value; none where the family has one series.
    pub tag: Option<(&'static str, String)>,
    /// The value.
    pub value: MetricValue,
}

impl Sample {
    fn series_key(&self) -> SeriesKey<'_> {
        (self.name, self.statistic, self.tag.as_ref().map(|(_, value)| value.as_str()))
    }
}

/// A series' name, statistic and tag value.
type SeriesKey<'a> = (&'static str, &'static str, Option<&'a str>);

/// All series at a point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSnapshot {
    /// Unix microseconds.
    pub timestamp: u64,
    /// The samples, by family.
    pub samples: Vec<Sample>,
}

impl MetricsSnapshot {
    /// Returns the snapshot with each counter as its increment since an earlier snapshot of the same process.
    ///
    /// A series that the earlier snapshot does not have counts from zero. Gauges are unchanged.
    pub fn since(&self, earlier: Option<&MetricsSnapshot>) -> MetricsSnapshot {
        let counter = |sample: &MetricValue| match sample {
            MetricValue::Counter(total) => Some(*total),
            MetricValue::Gauge(_) => None,
        };
        let earlier_totals: BTreeMap<SeriesKey, u64> = earlier
            .iter()
            .flat_map(|snapshot| &snapshot.samples)
            .filter_map(|sample| Some((sample.series_key(), counter(&sample.value)?)))
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
