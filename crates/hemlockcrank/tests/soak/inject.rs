//! The injection of faults.

use std::{net::IpAddr, time::Duration};

use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::{
    fault::{Fault, Stop},
    history::History,
    host::Host,
    operator,
    site::{MEMBER_NAMES, Site},
};

/// Time that a control host needs to catch up before the next one may lose its disk.
const CATCH_UP_DURATION: Duration = Duration::from_secs(4);

impl Site {
    /// Injects a fault, and repairs it if it has a duration.
    pub(crate) async fn inject(
        &mut self,
        fault: &Fault,
        history: &History,
        random: &mut ChaCha8Rng,
    ) {
        match *fault {
            Fault::Control {
                host,
                stop,
                duration_ms,
            } => {
                self.controls[host]
                    .interrupt(&self.folder, stop, duration_ms, random)
                    .await;
                if stop == Stop::Wipe {
                    sleep(CATCH_UP_DURATION).await;
                }
            }
            Fault::Entry {
                host,
                stop,
                duration_ms,
            } => {
                self.entries[host]
                    .interrupt(&self.folder, stop, duration_ms, random)
                    .await;
            }
            Fault::AllControls { duration_ms } => {
                self.controls.iter_mut().for_each(Host::kill);
                sleep(Duration::from_millis(duration_ms)).await;
                for host in &mut self.controls {
                    host.start(&self.folder);
                }
            }
            Fault::Crash { duration_ms } => {
                if let Some(primary) = self.group.primary() {
                    self.group
                        .with_member(&primary, |member| member.down = true);
                    sleep(Duration::from_millis(duration_ms)).await;
                    self.group.recover(&primary);
                }
            }
            Fault::LoseAnswers { member, count } => {
                self.group.with_member(MEMBER_NAMES[member], |member| {
                    member.answers_to_drop = count;
                });
            }
            Fault::Partition {
                entry,
                member,
                duration_ms,
            } => {
                let all = self.controls.iter().chain(&self.entries);
                let hosts: Vec<IpAddr> = match entry {
                    Some(entry) => vec![self.entries[entry].address()],
                    None => all.map(Host::address).collect(),
                };
                self.proxies[member].partition(hosts);
                sleep(Duration::from_millis(duration_ms)).await;
                self.proxies[member].heal();
            }
            Fault::Stall { member } => self.proxies[member].stall(),
            Fault::Reset { member } => self.proxies[member].reset(),
            Fault::Withdraw => {
                self.version += 1;
                let key = self.newest_key();
                history.add_key(&key);
                let body = operator::configuration(self.version, &[key.as_str()]);
                assert!(
                    self.submit(&body).await,
                    "the configuration is acknowledged"
                );
                history.record_configuration(self.version);
            }
        }
    }

    /// Ends all partitions and stops losing answers.
    pub(crate) async fn heal(&mut self) {
        for proxy in &self.proxies {
            proxy.heal();
        }
        for name in MEMBER_NAMES {
            self.group
                .with_member(name, |member| member.answers_to_drop = 0);
        }
    }
}
