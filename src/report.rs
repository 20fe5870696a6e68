//! The report on error budget burn, as text and as HTML.

pub mod html;
pub mod render;
