//! Tickets for orders that carry no version of their own. A message that was delayed must not undo a
//! later order, so each is only valid as long as the leader has accepted no other.

use serde::{Deserialize, Serialize};

/// Permission to give the next order to one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Fencing token of the leader, which rises with each leadership.
    token: u64,
    /// Number of orders that it has accepted.
    number: u64,
}

/// The leader's side of tickets.
#[derive(Debug)]
pub struct Counter(Ticket);

impl Counter {
    /// Creates a counter for a new leader.
    pub fn new(token: u64) -> Self {
        Self(Ticket { token, number: 0 })
    }

    /// Redeems the ticket of an order.
    ///
    /// # Errors
    /// The valid ticket, if the order has none or another one.
    pub fn redeem(&mut self, ticket: Option<Ticket>) -> Result<(), Ticket> {
        if ticket != Some(self.0) {
            return Err(self.0);
        }
        self.0.number += 1;
        Ok(())
    }
}
