//! Leaving the control group when the journal cannot be written, and taking part again afterwards.
//!
//! A voter must not act on state that is not on its disk, so after a failed write it drops the group
//! and everything in it that the disk may lack. It goes on as a host without a disk: it follows the
//! leader and passes proposals on to it. Meanwhile it tries to open the journal again.

use std::path::PathBuf;

use super::ActorState;
use crate::{
    clock::now_ms,
    control::{group::Group, timing},
    event::Event,
    journal::{Journal, JournalError},
};

/// Pause before the journal is opened again, in milliseconds.
const REOPEN_INTERVAL_MS: u64 = 500;

/// A disk that this host waits for.
#[derive(Debug)]
pub(super) struct FailedDisk {
    folder: PathBuf,
    incarnation: u64,
    reopen_at: u64,
}

impl ActorState {
    /// Leaves the group after a failed write. Proposals that are not answered may have been written.
    pub(super) fn leave_group(&mut self, error: &JournalError) {
        self.timeline.emit(Event::DiskFailed, &[("error", error)]);
        let Some(mut group) = self.group.take() else {
            return;
        };
        group.abandon_proposals();
        self.failed_disk = Some(FailedDisk {
            folder: group.folder().to_owned(),
            incarnation: group.id().incarnation,
            reopen_at: now_ms() + REOPEN_INTERVAL_MS,
        });
    }

    /// Opens the journal of a failed disk again if it is time, and takes part in the group from what
    /// it holds.
    pub(super) fn rejoin_group(&mut self, now: u64) {
        let Some(disk) = self.failed_disk.take_if(|disk| now >= disk.reopen_at) else {
            return;
        };
        let opened = Journal::reopen(&disk.folder, disk.incarnation)
            .and_then(|journal| Group::new(&self.host.name, journal, timing(&self.settings)));
        match opened {
            Ok((group, state)) => {
                self.replace_state(state);
                self.group = Some(group);
                let index = self.state.index;
                self.timeline
                    .emit(Event::DiskRecovered, &[("index", &index)]);
            }
            Err(error) => {
                self.timeline.emit(Event::DiskFailed, &[("error", &error)]);
                self.failed_disk = Some(FailedDisk {
                    reopen_at: now_ms() + REOPEN_INTERVAL_MS,
                    ..disk
                });
            }
        }
    }
}
