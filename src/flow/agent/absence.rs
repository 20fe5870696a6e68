//! Which runs are neither active on the worker nor among its ends, and never will be.

use std::collections::BTreeSet;

use crate::flow::agent::{Core, Listing};
use crate::flow::{Millis, Run};

/// Margin of the time that a run needs to stop, where a row of the listing cannot be read.
const UNREADABLE_MARGIN_MS: Millis = 300;

impl Core {
    /// Marks runs as absent whose stop was confirmed before the listing was requested and that appear
    /// neither among the active nor among the ended runs. A row that could not be read may stand for
    /// a run that is still stopping, so the time of a stop must have passed as well then. While there are
    /// ends that are not listed, one of them may be the run's.
    pub(super) fn find_absent(&mut self, sent_ms: Millis, listing: &Listing) {
        if listing.has_more_ends {
            return;
        }
        let stop_ms = match listing.unreadable_rows {
            0 => 0,
            _ => self.options.bounds.stop_ms + UNREADABLE_MARGIN_MS,
        };
        let known = self.absent.len();
        for (run, removal) in &self.removals {
            let is_confirmed = removal
                .confirmed_ms
                .is_some_and(|from_ms| from_ms.saturating_add(stop_ms) <= sent_ms);
            let is_active = listing.active.iter().any(|active| active.run == *run);
            let has_ended = listing.ended.iter().any(|ended| ended.run == *run);
            if is_confirmed && !is_active && !has_ended && self.absent.insert(*run) {
                self.report_due = true;
            }
        }
        let runs = self.absent.len() - known;
        if runs > 0 {
            let last_end = listing.ended.iter().map(|ended| ended.number).max();
            log::info!(runs = runs, active = listing.active.len(), ended = listing.ended.len(),
                last_end = last_end.unwrap_or(0), cursor = self.cursor,
                unreadable = listing.unreadable_rows;
                "stopped runs are absent from the listing");
        }
    }

    /// Reports whether a listing is needed at once, to find out if a run whose stop was confirmed is
    /// absent. One that does not reach all ends is the same until the leader has acknowledged them.
    pub fn needs_listing(&self) -> bool {
        if self.has_more_ends() {
            return false;
        }
        let removals = self.removals.iter();
        removals
            .filter(|(run, _removal)| !self.absent.contains(run))
            .any(|(_run, removal)| removal.confirmed_ms.is_some())
    }

    /// Reports whether the worker may hold ends that its last listing did not reach.
    pub(super) fn has_more_ends(&self) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| listing.has_more_ends)
    }

    /// Marks all runs of an expired incarnation as absent, except those whose end it has listed.
    pub(super) fn mark_expired(&mut self) {
        let ended = self.listing.iter().flat_map(|listing| &listing.ended);
        let ended: BTreeSet<Run> = ended.map(|ended| ended.run).collect();
        let runs = self.wanted.iter().chain(self.removals.keys());
        let lapsed = runs.filter(|run| !ended.contains(run)).copied();
        self.absent.extend(lapsed);
    }
}
