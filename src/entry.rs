//! The entry: takes callers' requests over HTTP, forwards them to control, fetches their answers.
//!
//! It keeps nothing that must survive: a request is identified by its account and key, so a resend
//! through any entry attaches to the same job.

pub mod answer;
pub mod daemon;
pub mod headers;
pub mod request;
