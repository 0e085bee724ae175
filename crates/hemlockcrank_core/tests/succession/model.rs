//! A small group with hosts, driven by the real decision.

use std::collections::BTreeMap;

use hemlockcrank_core::{
    Name,
    group::{Age, Change, Edit, Group, Groups, Lead, Member, Notice, Standing},
    session::Position,
    state::{Command, State},
    succession::{Fencing, Inputs, Order, OrderReply, PromotionReply, Row, Succession},
};

/// Name of the only service.
pub(crate) const SERVICE: &str = "ledger";
/// Time that one tick takes, in milliseconds.
pub(crate) const TICK_MS: u64 = 25;

/// A commit: the term it was written in, and a number of its own.
pub(crate) type Commit = (u64, u64);

/// One member as it really is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Real {
    pub(crate) log: Vec<Commit>,
    pub(crate) primary: bool,
    pub(crate) term: u64,
    pub(crate) held: u64,
    pub(crate) down: bool,
    /// Cut from the leader.
    pub(crate) far: bool,
    /// Cut from the other members.
    pub(crate) alone: bool,
}

impl Real {
    pub(crate) fn row(&self) -> Row {
        Row {
            primary: self.primary,
            term: self.term,
            received: self.position(),
            held: self.held,
        }
    }

    pub(crate) fn position(&self) -> Position {
        let term = self.log.last().map_or(0, |commit| commit.0);
        Position::new(term, self.log.len() as u64)
    }
}

/// The group, its one host, and the leader's decision.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) now: u64,
    pub(crate) state: State,
    pub(crate) real: BTreeMap<Name, Real>,
    pub(crate) succession: Succession,
    pub(crate) settled: Fencing,
    pub(crate) failing_ms: Option<u64>,
    pub(crate) acknowledged: Vec<Commit>,
    /// Planted fault: members say that they are paused and go on receiving.
    pub(crate) lies: bool,
    /// Members run and have no slot free for orders.
    pub(crate) busy: bool,
    /// Newest acknowledged commit, before the leader hears of it.
    newest: Position,
    next_commit: u64,
}

impl Site {
    /// Members `a` (primary in term 1), `b` and `c`, in zones of their own.
    pub(crate) fn new() -> Self {
        let mut site = Self {
            now: 1_000,
            state: State::default(),
            real: BTreeMap::new(),
            succession: Succession::new(&Group::default()),
            settled: Fencing::default(),
            failing_ms: None,
            acknowledged: Vec::new(),
            lies: false,
            busy: false,
            newest: Position::default(),
            next_commit: 0,
        };
        for name in ["a", "b", "c"] {
            let real = Real {
                primary: name == "a",
                term: 1,
                ..Real::default()
            };
            site.real.insert(name.into(), real);
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

    pub(crate) fn announce(&mut self, name: &str, standing: Standing) {
        let fresh = Real {
            term: 1,
            ..Real::default()
        };
        self.real.entry(name.into()).or_insert(fresh);
        let age = Age {
            born: 1,
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

    pub(crate) fn commit(&mut self, edit: Edit) {
        let index = self.state.index + 1;
        self.state.apply(index, Some(&Command::Group(edit)));
    }

    pub(crate) fn group(&self) -> &Group {
        self.state.groups.get(SERVICE).expect("group")
    }

    pub(crate) fn lead(&self) -> &Lead {
        self.group().lead.as_ref().expect("lead")
    }

    pub(crate) fn change(&self) -> Option<Change> {
        self.group().change
    }

    pub(crate) fn real(&mut self, name: &str) -> &mut Real {
        self.real.get_mut(name).expect("member")
    }

    /// Writes at `name` if it takes writes; received by those of `receivers` that can. Acknowledged to
    /// the caller where a replica has received it and the host still uses this primary.
    pub(crate) fn write(&mut self, name: &str, receivers: &[&str]) {
        let author = self.real[name].clone();
        if !author.primary || author.down {
            return;
        }
        self.next_commit += 1;
        let commit = (author.term, self.next_commit);
        self.real(name).log.push(commit);
        let log = self.real[name].log.clone();
        let mut copies = 0;
        for receiver in receivers {
            let real = self.real(receiver);
            let apart = real.alone || author.alone || real.down;
            if apart || real.held > 0 || real.primary || real.term > author.term {
                continue;
            }
            real.log.clone_from(&log);
            copies += 1;
        }
        let uses = self.lead().term == author.term && !self.settled.complete;
        if copies > 0 && uses {
            self.acknowledged.push(commit);
            let position = self.real[name].position();
            self.newest = self.newest.max(position);
        }
    }

    /// The host lets go of the old primary, and says what it has acknowledged if it is heard.
    pub(crate) fn release(&mut self, heard: bool) {
        self.settled.complete = true;
        self.settled.confirmed = heard;
        if heard {
            self.settled.acknowledged = self.newest;
        }
    }

    /// One look of the leader; every order is answered at once unless `lose` says otherwise.
    pub(crate) fn tick<F>(&mut self, mut lose: F)
    where
        F: FnMut(&Order) -> bool,
    {
        self.now += TICK_MS;
        let groups: Groups = Groups::clone(&self.state.groups);
        let service = Name::from(SERVICE);
        let facts = Inputs {
            groups: &groups,
            group: groups.get(SERVICE).expect("group"),
            service: &service,
            sync_replicas: 1,
            fencing: self.settled,
            failing_ms: self.failing_ms,
        };
        let orders = self.succession.tick(self.now, &facts);
        for order in orders {
            let lost = lose(&order);
            self.carry_out(&order, lost);
        }
    }

    pub(crate) fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.tick(|_| false);
        }
    }

    fn carry_out(&mut self, order: &Order, lost: bool) {
        let now = self.now;
        match order {
            Order::Commit(edit) => {
                let begins = matches!(edit, Edit::Begin { .. });
                let before = self.change();
                self.commit(edit.clone());
                if begins && before != self.change() {
                    self.settled.complete = false;
                    self.settled.confirmed = false;
                }
                if before.is_some() && self.change().is_none() {
                    self.settled.complete = false;
                    self.settled.confirmed = false;
                    self.failing_ms = None;
                }
            }
            Order::Promote(member) => {
                let member = member.clone();
                if lost {
                    self.succession
                        .record_promotion(now, &member, PromotionReply::Unknown);
                    return;
                }
                let outcome = self.promote(&member);
                self.succession.record_promotion(now, &member, outcome);
            }
            Order::Look(member)
            | Order::Pause(member, _)
            | Order::Resume(member)
            | Order::StepDown(member, _) => {
                let member = member.clone();
                let reached = self
                    .real
                    .get(&member)
                    .is_some_and(|real| !real.down && !real.far);
                let said = match reached && !lost {
                    true if self.busy => OrderReply::Busy,
                    true => OrderReply::Row(self.obey(&member, order)),
                    false => OrderReply::Nothing,
                };
                self.succession.record_reply(now, &member, order, said);
            }
        }
    }

    fn obey(&mut self, member: &Name, order: &Order) -> Row {
        let lies = self.lies;
        let real = self.real(member);
        match order {
            Order::Pause(_, term) if lies => {
                return Row {
                    held: *term,
                    ..real.row()
                };
            }
            Order::Pause(_, term) if *term > real.term && !real.primary => real.held = *term,
            Order::Resume(_) => real.held = 0,
            Order::StepDown(_, term) if *term > real.term => real.primary = false,
            _ => {}
        }
        real.row()
    }

    fn promote(&mut self, member: &Name) -> PromotionReply {
        if self.real[member].down {
            return PromotionReply::NotRunning;
        }
        let log = &self.real[member].log;
        for commit in &self.acknowledged {
            assert!(
                log.contains(commit),
                "{member} is promoted without {commit:?}"
            );
        }
        let newest = self.real.values().map(|real| real.term).max().unwrap_or(0);
        let real = self.real(member);
        real.primary = true;
        real.term = newest + 1;
        real.held = 0;
        PromotionReply::Accepted
    }
}
