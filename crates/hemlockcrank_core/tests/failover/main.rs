//! Changes of primary: exhaustive exploration, and single decisions.

mod explore;
mod panel;
