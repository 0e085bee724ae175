//! Cuts of the control leader while the primary changes.

use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    fault::{Cause, Cut, Sender},
    site::{MEMBER_NAMES, Site},
    wait_until,
};

/// Start of a promotion call.
const CALL: &str = "POST /promote";
/// Longest wait for a promotion call at which a cut is to start.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time before and after the end of a cut for which a member receives nothing.
const LAG: Duration = Duration::from_secs(1);

impl Site {
    /// Cuts a control host off from the other hosts, the members and the platform.
    pub(crate) async fn cut(&self, control: usize, closes: bool) {
        let host = &self.controls[control];
        for proxy in &self.proxies {
            proxy.partition([host.address()]);
        }
        self.links.cut(&host.ip, closes).await;
    }

    /// Ends the cut of a control host.
    pub(crate) fn restore(&self, control: usize) {
        let host = &self.controls[control];
        self.links.restore(&host.ip);
        for proxy in &self.proxies {
            proxy.reconnect(host.address());
        }
    }

    /// Starts a control host that has been killed.
    pub(crate) fn start_control(&mut self, control: usize) {
        self.controls[control].start(&self.folder);
    }

    /// Stops or kills a control host that is cut off.
    pub(crate) fn strike(&mut self, control: usize, sender: Sender) {
        match sender {
            Sender::CutOff => {}
            Sender::Frozen => self.signal_control(control, "-STOP"),
            Sender::Killed => self.controls[control].kill(),
        }
    }

    /// Changes the primary, cuts the leader off meanwhile, and repairs everything.
    pub(crate) async fn run_cut(&mut self, cut: &Cut) {
        let leader = self.leader(None).await;
        let first = self.group.primary().expect("a primary");
        let zone = format!("/evacuations/{}", self.zone_of(&first));
        self.begin_change(cut, leader, &first, &zone).await;
        self.cut(leader, cut.closes).await;
        let started_at = Instant::now();
        let after = |milliseconds| started_at + Duration::from_millis(milliseconds);
        self.strike(leader, cut.sender);

        sleep_until(after(cut.second_crash_ms)).await;
        self.group.recover(&first);
        let second = self.group.primary().filter(|second| *second != first);
        if let Some(second) = &second {
            self.group.with_member(second, |member| member.down = true);
        }
        let end = after(cut.duration_ms);
        sleep_until(end - LAG).await;
        if let Some(second) = &second {
            self.group.recover(second);
            self.group
                .with_member(second, |member| member.is_cut_off = cut.lags);
        }
        sleep_until(end).await;
        self.end_cut(cut, leader);
        sleep(LAG).await;
        for name in MEMBER_NAMES {
            self.group
                .with_member(name, |member| member.is_cut_off = false);
        }
        if cut.cause == Cause::Evacuation {
            assert!(self.order("DELETE", &zone, 0).await, "the zone is restored");
        }
        self.wait_ready().await;
    }

    /// Makes the primary change, and waits until the cut is due.
    async fn begin_change(&self, cut: &Cut, leader: usize, primary: &str, zone: &str) {
        let link = self.links.promotions_of(&self.controls[leader].ip);
        let held_before = link.held_bytes();
        if cut.delay_ms.is_none() {
            link.hold_at(CALL);
        }
        match cut.cause {
            Cause::Crash => self.group.with_member(primary, |member| member.down = true),
            Cause::Evacuation => {
                assert!(
                    self.order("POST", zone, leader).await,
                    "the zone is evacuated"
                );
            }
        }
        match cut.delay_ms {
            Some(delay_ms) => sleep(Duration::from_millis(delay_ms)).await,
            None => {
                let deadline = Instant::now() + CALL_TIMEOUT;
                wait_until(deadline, || link.held_bytes() > held_before).await;
            }
        }
    }

    fn end_cut(&mut self, cut: &Cut, leader: usize) {
        let is_frozen = cut.sender == Sender::Frozen;
        if is_frozen && cut.resumes_first {
            self.signal_control(leader, "-CONT");
        }
        self.restore(leader);
        if is_frozen && !cut.resumes_first {
            self.signal_control(leader, "-CONT");
        }
        if cut.sender == Sender::Killed {
            self.start_control(leader);
        }
    }
}
