//! Model of a small group and its hosts, driven by the production [`Succession`].

mod platform;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use hemlockcrank_core::{
    Name,
    floor::Sample,
    group::{Age, Change, Edit, Group, Groups, Lead, Member, Notice, Standing},
    session::Position,
    state::{Command, State},
    succession::{Fencing, Inputs, Lack, Order, OrderReply, Row, Succession},
};

use platform::Call;
pub(crate) use platform::Platform;

/// Name of the only service.
pub(crate) const SERVICE: &str = "ledger";
/// Time that one tick takes, in milliseconds.
pub(crate) const TICK_MS: u64 = 25;

/// A commit: the term that it was written in, and a unique number.
pub(crate) type Commit = (u64, u64);

/// Simulated member, with its actual state rather than the state last reported to the leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimMember {
    pub(crate) log: Vec<Commit>,
    pub(crate) primary: bool,
    pub(crate) term: u64,
    /// Term that it is paused for; 0 when it is not paused.
    pub(crate) paused_for: u64,
    pub(crate) down: bool,
    /// Cannot reach the control leader.
    pub(crate) cut_from_leader: bool,
    /// Carries out orders, but its answers are lost.
    pub(crate) loses_answers: bool,
    /// Time that its answers take, in milliseconds.
    pub(crate) answer_ms: u64,
    /// Cannot reach the other members.
    pub(crate) cut_from_members: bool,
}

impl SimMember {
    pub(crate) fn row(&self) -> Row {
        Row {
            primary: self.primary,
            term: self.term,
            received: self.position(),
            held: self.paused_for,
        }
    }

    pub(crate) fn position(&self) -> Position {
        let term = self.log.last().map_or(0, |commit| commit.0);
        Position::new(term, self.log.len() as u64)
    }
}

/// The group, its single host, and the control leader's state machine.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) now: u64,
    pub(crate) state: State,
    pub(crate) members: BTreeMap<Name, SimMember>,
    pub(crate) succession: Succession,
    /// What the change in progress lacks.
    pub(crate) lack: Option<Lack>,
    /// Sample that the leader gives out during a change.
    pub(crate) outgoing: Option<Sample>,
    pub(crate) fencing: Fencing,
    pub(crate) failing_ms: Option<u64>,
    pub(crate) acknowledged: Vec<Commit>,
    /// Injected fault: members report a pause but continue to receive commits.
    pub(crate) ignores_pauses: bool,
    /// Members run but have no free slot for orders.
    pub(crate) busy: bool,
    /// `None`: calls take effect and are answered at once.
    pub(crate) platform: Option<Platform>,
    /// Members that took the lead, in this order.
    pub(crate) promoted: Vec<Name>,
    calls: Vec<Call>,
    /// Answers of members that are on their way, with the time of their arrival.
    answers: Vec<(u64, Name, Order, OrderReply)>,
    /// Orders whose answers were lost that members carry out later, with the time.
    late_orders: Vec<(u64, Name, Order)>,
    /// Time until a member carries out an order whose answer is lost, in milliseconds; `None`: never.
    pub(crate) late_order_ms: Option<u64>,
    leadership: u64,
    /// Control hosts that are cut off, and until when.
    silent_until: BTreeMap<Name, u64>,
    /// Highest leadership of a call that has reached the platform: its fencing token.
    newest_token: u64,
    /// Tokens that reached the platform after a higher one, and that one.
    pub(crate) late_tokens: Vec<(u64, u64)>,
    /// Newest acknowledged commit, reported to the leader by [`Site::release`].
    newest_acknowledged: Position,
    next_commit: u64,
}

impl Site {
    /// Members `a` (primary in term 1), `b` and `c`, each in its own zone.
    pub(crate) fn new() -> Self {
        let mut site = Self {
            now: 1_000,
            state: State::default(),
            members: BTreeMap::new(),
            succession: Succession::default(),
            lack: None,
            outgoing: None,
            fencing: Fencing::default(),
            failing_ms: None,
            acknowledged: Vec::new(),
            ignores_pauses: false,
            busy: false,
            platform: None,
            promoted: Vec::new(),
            calls: Vec::new(),
            answers: Vec::new(),
            late_orders: Vec::new(),
            late_order_ms: None,
            leadership: 0,
            silent_until: BTreeMap::new(),
            newest_token: 0,
            late_tokens: Vec::new(),
            newest_acknowledged: Position::default(),
            next_commit: 0,
        };
        for name in ["a", "b", "c"] {
            let initial = SimMember {
                primary: name == "a",
                term: 1,
                ..SimMember::default()
            };
            site.members.insert(name.into(), initial);
            site.announce(name, Standing::Ready);
        }
        site.commit(Edit::Finish {
            service: SERVICE.into(),
            change: None,
            lead: Lead {
                member: "a".into(),
                term: 1,
            },
        });
        site
    }

    /// A member starts again under its name: it holds and knows nothing.
    pub(crate) fn restart_empty(&mut self, name: &str) {
        self.members.insert(name.into(), SimMember::default());
        let born = self.group().born(name).unwrap_or_default();
        self.announce_process(name, Standing::Ready, born + 1);
    }

    pub(crate) fn announce(&mut self, name: &str, standing: Standing) {
        self.announce_process(name, standing, 1);
    }

    fn announce_process(&mut self, name: &str, standing: Standing, born: u64) {
        let initial = SimMember {
            term: 1,
            ..SimMember::default()
        };
        self.members.entry(name.into()).or_insert(initial);
        let age = Age {
            born,
            seq: self.state.index,
        };
        let data = Member {
            address: format!("127.0.0.1:{}", 1_000 + u16::from(name.as_bytes()[0]))
                .parse()
                .expect("address"),
            zone: format!("zone-{name}").into(),
            slots: 3,
            standing,
            age,
        };
        self.commit(Edit::Announce(Notice {
            service: SERVICE.into(),
            member: name.into(),
            data,
            leads: false,
        }));
    }

    /// A member leaves with its log.
    pub(crate) fn depart(&mut self, name: &str) {
        self.member(name).down = true;
        let age = Age {
            born: self.group().born(name).unwrap_or_default(),
            seq: u64::MAX,
        };
        self.commit(Edit::Depart {
            member: name.into(),
            age,
        });
    }

    pub(crate) fn commit(&mut self, edit: Edit) {
        let index = self.state.index + 1;
        self.state.apply(index, Some(&Command::Group(edit)));
    }

    pub(crate) fn group(&self) -> &Group {
        self.state.groups.get(SERVICE).expect("group")
    }

    pub(crate) fn groups(&self) -> &Groups {
        &self.state.groups
    }

    /// Member nominated in the change in progress.
    pub(crate) fn nominee(&self) -> Option<Name> {
        let nominee = self.groups().nominee(SERVICE)?;
        Some(nominee.member.clone())
    }

    pub(crate) fn lead(&self) -> &Lead {
        self.group().lead.as_ref().expect("lead")
    }

    pub(crate) fn change(&self) -> Option<Change> {
        self.group().change
    }

    pub(crate) fn member(&mut self, name: &str) -> &mut SimMember {
        self.members.get_mut(name).expect("member")
    }

    /// Writes a commit at `name` if it is primary, and replicates it to those of `receivers` that
    /// can receive it. The commit is acknowledged to the caller if a replica has received it and
    /// the host still uses this primary, and if all witnesses have received it.
    pub(crate) fn write(&mut self, name: &str, receivers: &[&str]) {
        let primary = self.members[name].clone();
        if !primary.primary || primary.down {
            return;
        }
        self.next_commit += 1;
        let commit = (primary.term, self.next_commit);
        self.member(name).log.push(commit);
        let log = self.members[name].log.clone();
        let mut copies = 0;
        for receiver in receivers {
            let target = self.member(receiver);
            let unreachable = target.cut_from_members || primary.cut_from_members || target.down;
            if unreachable || target.paused_for > 0 || target.primary || target.term > primary.term
            {
                continue;
            }
            target.log.clone_from(&log);
            target.term = primary.term;
            copies += 1;
        }
        let in_use = self.lead().term == primary.term && !self.fencing.complete;
        let is_witnessed = self
            .groups()
            .witnesses(SERVICE)
            .all(|witness| self.members[witness].log.contains(&commit));
        if copies > 0 && in_use && is_witnessed {
            self.acknowledged.push(commit);
            let position = self.members[name].position();
            self.newest_acknowledged = self.newest_acknowledged.max(position);
        }
    }

    /// The host releases the old primary. If `reported`, the release and the newest acknowledged
    /// commit reach the leader; otherwise the lease of the host expires.
    pub(crate) fn release(&mut self, reported: bool) {
        self.fencing.complete = true;
        self.fencing.confirmed = reported;
        if reported {
            self.fencing.acknowledged = self.newest_acknowledged;
        }
    }

    /// Another host leads: it knows the committed state alone.
    pub(crate) fn change_leader(&mut self) {
        self.succession = Succession::new(self.now, &self.state.groups, SERVICE);
        self.leadership += 1;
        self.answers.clear();
    }

    /// The leader is cut off for this time, and another host leads. The link holds the calls that have
    /// not reached the platform, and passes them on when the cut ends.
    pub(crate) fn cut_leader_off(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        self.hold_calls(until);
        self.silent_until.insert(self.leader(), until);
        self.change_leader();
    }

    /// Name of the control host that leads: each leadership has its own.
    fn leader(&self) -> Name {
        format!("host-{}", self.leadership).into()
    }

    /// Control hosts that take part in the present leadership.
    fn participants(&self) -> BTreeSet<Name> {
        let hosts =
            (0..=self.leadership).map(|leadership| Name::from(format!("host-{leadership}")));
        let is_silent = |host: &Name| self.silent_until.get(host).is_some_and(|at| self.now < *at);
        hosts.filter(|host| !is_silent(host)).collect()
    }

    /// One tick of the leader. Every order is executed and answered at once, unless `is_lost`
    /// returns true for it.
    pub(crate) fn tick<F>(&mut self, mut is_lost: F)
    where
        F: FnMut(&Order) -> bool,
    {
        self.now += TICK_MS;
        self.run_platform();
        self.carry_out_late_orders();
        self.deliver_answers();
        let groups: Groups = Groups::clone(&self.state.groups);
        let bounds = Arc::clone(&self.state.bounds);
        let service = Name::from(SERVICE);
        let (host, participants) = (self.leader(), self.participants());
        let inputs = Inputs {
            groups: &groups,
            group: groups.get(SERVICE).expect("group"),
            service: &service,
            sync_replicas: 1,
            bound: bounds.get(SERVICE),
            fencing: self.fencing,
            failing_ms: self.failing_ms,
            host: &host,
            leadership: self.leadership,
            participants: &participants,
        };
        let orders = self.succession.tick(self.now, &inputs);
        self.lack = self.succession.lack(self.now, &inputs);
        let outgoing = self.succession.outgoing_sample(self.now, &inputs);
        self.outgoing = outgoing.map(|(_, sample)| sample);
        for order in orders {
            let lost = is_lost(&order);
            self.execute(&order, lost);
        }
    }

    pub(crate) fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.tick(|_| false);
        }
    }

    fn execute(&mut self, order: &Order, lost: bool) {
        let now = self.now;
        match order {
            Order::Commit(edit) => {
                let is_begin = matches!(edit, Edit::Begin { .. });
                let before = self.change();
                self.commit(edit.clone());
                if is_begin && before != self.change() {
                    self.fencing.complete = false;
                    self.fencing.confirmed = false;
                }
                if before.is_some() && self.change().is_none() {
                    self.fencing.complete = false;
                    self.fencing.confirmed = false;
                    self.failing_ms = None;
                }
            }
            Order::Promote(member, number) => self.ask_for_promotion(member, *number, lost),
            Order::Look(member)
            | Order::Pause(member, _)
            | Order::Resume(member)
            | Order::StepDown(member, _) => {
                let member = member.clone();
                let reached = self
                    .members
                    .get(&member)
                    .is_some_and(|target| !target.down && !target.cut_from_leader);
                let reply = match reached && !lost {
                    true if self.busy => OrderReply::Busy,
                    true => {
                        let row = self.apply_order(&member, order);
                        match self.members[&member].loses_answers {
                            true => OrderReply::Nothing,
                            false => OrderReply::Row(row),
                        }
                    }
                    false => {
                        if let Some(after) = self.late_order_ms {
                            let late = (now + after, member.clone(), order.clone());
                            self.late_orders.push(late);
                        }
                        OrderReply::Nothing
                    }
                };
                let arrives_at = now + self.members[&member].answer_ms;
                self.answers
                    .push((arrives_at, member, order.clone(), reply));
                self.deliver_answers();
            }
        }
    }

    /// Carries out the orders that lay unread at members until now.
    fn carry_out_late_orders(&mut self) {
        let now = self.now;
        for (at, member, order) in std::mem::take(&mut self.late_orders) {
            match at <= now && !self.members[&member].down {
                true => drop(self.apply_order(&member, &order)),
                false => self.late_orders.push((at, member, order)),
            }
        }
    }

    /// Passes the answers that have arrived to the leader.
    fn deliver_answers(&mut self) {
        let now = self.now;
        for answer in std::mem::take(&mut self.answers) {
            let (arrives_at, member, order, reply) = &answer;
            match *arrives_at <= now {
                true => self.succession.record_reply(now, member, order, *reply),
                false => self.answers.push(answer),
            }
        }
    }

    fn apply_order(&mut self, member: &Name, order: &Order) -> Row {
        let ignores_pauses = self.ignores_pauses;
        let target = self.member(member);
        match order {
            Order::Pause(_, term) if ignores_pauses => {
                return Row {
                    held: *term,
                    ..target.row()
                };
            }
            Order::Pause(_, term) if *term > target.term && !target.primary => {
                target.paused_for = *term;
            }
            Order::Resume(_) => target.paused_for = 0,
            Order::StepDown(_, term) if *term > target.term => target.primary = false,
            _ => {}
        }
        target.row()
    }
}
