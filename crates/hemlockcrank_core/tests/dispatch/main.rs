//! Who is served when a member is full, by load pattern.

mod member;
mod patterns;
mod refusals;
