//! The report on service-level burn, as text and as a page.

pub mod html;
pub mod render;
