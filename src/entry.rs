//! Entry: accepts callers' requests over HTTP, forwards them to control and fetches their answers.
//!
//! An entry holds no durable state: a request is identified by its account and idempotency key, so
//! a request that is sent again through any entry attaches to the same job.

pub mod answer;
pub mod daemon;
pub mod headers;
pub mod request;
