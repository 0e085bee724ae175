//! Bodies that no host of this version sends: decoding them fails, and nothing else happens.

use hemlockcrank_core::{catalog::Delta, membership::Host, state::Command, updates::Update};
use hemlockcrank_wire::{Fetch, FetchReply, Frame, Request, Response, decode, encode};
use proptest::prelude::*;

fn decode_as_all(bytes: &[u8]) {
    let _ = decode::<Frame<Request>>(bytes);
    let _ = decode::<Frame<Response>>(bytes);
    let _ = decode::<FetchReply>(bytes);
    let _ = decode::<Command>(bytes);
    let _ = decode::<Delta>(bytes);
    let _ = decode::<Vec<Update>>(bytes);
}

fn fetch() -> Vec<u8> {
    let request = Request::Fetch(Fetch {
        host: Host::new("host", "zone"),
        applied: 300,
        reports: Vec::new(),
        serves_callers: true,
        primaries: Vec::new(),
        catalog_version: 7,
        hold_ms: 250,
        followers: Vec::new(),
        division: 0,
        usage: None,
    });
    encode(&request).expect("bytes")
}

proptest! {
    #[test]
    fn random_bytes_end_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        decode_as_all(&bytes);
    }

    #[test]
    fn changed_bytes_end_nothing(position in 0..1_000_usize, value: u8, cut in 0..1_000_usize) {
        let mut bytes = fetch();
        let length = bytes.len();
        bytes[position % length] = value;
        decode_as_all(&bytes);
        decode_as_all(&bytes[..cut % length]);
    }
}

/// A length near the largest number must not be believed.
#[test]
fn a_length_beyond_the_body_is_refused() {
    let bytes = [253, 255, 255, 255, 255, 255, 255, 255, 127, 0];

    assert!(decode::<Vec<Update>>(&bytes).is_err());
    assert!(decode::<String>(&bytes).is_err());
}
