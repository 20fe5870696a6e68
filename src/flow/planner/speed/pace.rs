//! Progress of a run over time.

use std::collections::VecDeque;

use crate::flow::Millis;

/// Interval at which workers refresh the percentages in their lists.
const REFRESH_MS: Millis = 1_000;

/// Shortest time over which a speed is measured: a refresh, with some jitter.
pub const MIN_SPAN_MS: Millis = 900;

/// Progress over which a speed is measured, if there is as much. Percentages are whole numbers, so a
/// smaller one is off by more than a quarter.
pub const MIN_GAIN: u32 = 4;

/// Maximum number of rises of the percentage stored for a run.
const MAX_RISES: usize = 8;

/// Progress over a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub ms: Millis,
    pub gain: u32,
}

impl Span {
    /// Returns the time for one percent.
    pub fn ms_per_percent(self) -> f64 {
        self.ms as f64 / f64::from(self.gain.max(1))
    }

    /// Returns the shortest time for one percent that agrees with the whole numbers.
    pub fn min_ms_per_percent(self) -> f64 {
        self.ms as f64 / f64::from(self.gain + 1)
    }
}

/// Progress of a run over time.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    pub percent: u32,
    /// Times at which a higher percentage was listed first, and the percentages; the oldest first. The
    /// time before the first one is not measured, as a run may restore its data then.
    rises: VecDeque<(Millis, u32)>,
    pub listed_ms: Millis,
    /// Time of the last sample for the worker.
    pub sampled_ms: Millis,
}

impl Pace {
    /// Adds the percentage in a listing.
    pub fn record(&mut self, listed_ms: Millis, percent: u32) {
        let is_first = self.listed_ms == 0;
        self.listed_ms = listed_ms;
        if !is_first && percent > self.percent {
            self.rises.push_back((listed_ms, percent));
            if self.rises.len() > MAX_RISES {
                self.rises.pop_front();
            }
        }
        self.percent = self.percent.max(percent);
    }

    /// Returns the position of the rise from which on the latest progress is measured.
    fn recent_from(&self) -> Option<usize> {
        let (last_ms, percent) = self.rises.back().copied()?;
        let is_enough = |(at_ms, from): &(Millis, u32)| {
            last_ms - at_ms >= MIN_SPAN_MS && percent - from >= MIN_GAIN
        };
        let found = self.rises.iter().rposition(is_enough);
        Some(found.unwrap_or(0))
    }

    /// Returns the latest progress, with the time without any if that is longer than a refresh.
    pub fn recent(&self) -> Option<Span> {
        let (from_ms, from) = *self.rises.get(self.recent_from()?)?;
        let (last_ms, percent) = *self.rises.back()?;
        let idle_ms = self.listed_ms.saturating_sub(last_ms + REFRESH_MS);
        let span = Span {
            ms: last_ms - from_ms + idle_ms,
            gain: percent - from,
        };
        (span.ms >= MIN_SPAN_MS).then_some(span)
    }

    /// Returns the progress before the latest.
    pub fn earlier(&self) -> Option<Span> {
        let (first_ms, first) = *self.rises.front()?;
        let (from_ms, from) = *self.rises.get(self.recent_from()?)?;
        let span = Span {
            ms: from_ms - first_ms,
            gain: from - first,
        };
        (span.ms >= MIN_SPAN_MS && span.gain >= MIN_GAIN).then_some(span)
    }

    /// Returns the time until the run ends at a speed.
    pub fn remaining_ms(&self, now: Millis, ms_per_percent: f64) -> Millis {
        let remaining = f64::from(100_u32.saturating_sub(self.percent)) * ms_per_percent;
        let last_ms = self.rises.back().map_or(now, |(at_ms, _percent)| *at_ms);
        (remaining as Millis).saturating_sub(now.saturating_sub(last_ms))
    }
}
