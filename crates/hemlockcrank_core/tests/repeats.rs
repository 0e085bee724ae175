//! Commands that hosts propose again after a lost answer: a repeat that comes late, after others, changes
//! nothing.
//!
//! Not here: `Command::Announce`, the announcement of a member by the PostgreSQL platform. It has no
//! order, so a late one is taken until the member announces itself again.

use std::{collections::BTreeMap, sync::Arc};

use hemlockcrank_core::{
    Name,
    catalog::{Catalog, Draft},
    group::{Age, Edit, Member, Notice, Standing, ZoneOrder},
    metering::{Caller, Counts, Entry},
    placement::PlacementKey,
    record::{Action, Change, Id, Kind},
    state::{Command, Reply, State},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;

/// Number of commands of one history, without the repeats.
const COMMANDS: u64 = 120;

/// A history with late repeats, and the state without them.
struct History {
    random: ChaCha8Rng,
    proposed: Vec<Command>,
    /// Start and port of each member's process.
    processes: BTreeMap<Name, (u64, u16)>,
    with_repeats: State,
    without: State,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            proposed: Vec::new(),
            processes: BTreeMap::new(),
            with_repeats: State::default(),
            without: State::default(),
        }
    }

    fn below(&mut self, count: u64) -> u64 {
        self.random.next_u64() % count
    }

    fn pick(&mut self, names: &[&str]) -> Name {
        let count = names.len() as u64;
        let index = usize::try_from(self.below(count)).unwrap_or(0);
        names[index].into()
    }

    /// A new command as a host would propose it now.
    fn draw(&mut self, number: u64) -> Command {
        match self.below(7) {
            0 => self.change(number),
            1 => {
                let version = self.below(COMMANDS);
                let draft = Draft {
                    version,
                    ..Draft::default()
                };
                Command::Catalog(Arc::new(Catalog::check(draft).expect("valid")))
            }
            2 => Command::Group(Edit::Announce(self.notice(number))),
            3 => {
                let member = self.pick(&["a", "b", "c"]);
                let known = self.without.groups.find(&member);
                let born = known.map_or(0, |(_, data)| data.age.born);
                let age = Age {
                    born,
                    seq: u64::MAX,
                };
                Command::Group(Edit::Depart { member, age })
            }
            4 => {
                let lag = self.below(4);
                Command::Group(Edit::Order(ZoneOrder {
                    zone: self.pick(&["y", "z"]),
                    in_service: self.below(2) == 0,
                    since: self.without.index.saturating_sub(lag),
                }))
            }
            5 => Command::Usage(self.usage(number)),
            _ => Command::Place {
                key: PlacementKey {
                    workspace: self.pick(&["v", "w"]),
                    service: "s".into(),
                },
                database: self.pick(&["one", "two"]),
            },
        }
    }

    /// What a new leader would propose next: its intent, the oldest confirmation, or the next window.
    fn usage(&mut self, leadership: u64) -> Entry {
        let host = self.pick(&["a", "b"]);
        let caller = Caller { host, leadership };
        let choice = self.below(3);
        let ledger = &self.without.ledger;
        match ledger.unconfirmed().keys().next() {
            Some(_) if choice == 0 => Entry::Intend(caller),
            Some(window) if choice == 1 => Entry::Confirm {
                window: *window,
                settled: true,
            },
            _ => Entry::Close {
                window: ledger.closed().map_or(leadership, |closed| closed + 1),
                counts: Counts::new(),
                caller,
            },
        }
    }

    fn change(&mut self, number: u64) -> Command {
        let text: Arc<str> = format!(r#"{{"per_second": {}, "burst": 5}}"#, number + 1).into();
        let expected = self.below(4);
        let action = match self.below(3) {
            0 => Action::Submit { schema: 1, text },
            1 => Action::Revise {
                schema: 1,
                text,
                expected,
            },
            _ => Action::Withdraw { expected },
        };
        let name = self.pick(&["v", "w"]);
        Command::Change(Change {
            op: format!("op-{number}").into(),
            id: Id::new(Kind::Rate, name),
            action,
        })
    }

    /// A member's announcement. Members start again now and then, at one of two addresses.
    fn notice(&mut self, number: u64) -> Notice {
        let member = self.pick(&["a", "b", "c"]);
        let starts = self.below(5) == 0;
        let port = 1_000 + u16::try_from(self.below(2)).unwrap_or(0);
        let process = self.processes.entry(member.clone());
        let process = process.or_insert((number, port));
        if starts {
            *process = (number, port);
        }
        let (born, port) = *process;
        let standing = match self.below(3) {
            0 => Standing::Leaving,
            _ => Standing::Ready,
        };
        Notice {
            service: "s".into(),
            member,
            data: Member {
                address: ([127, 0, 0, 1], port).into(),
                zone: "z".into(),
                slots: 3,
                standing,
                age: Age { born, seq: number },
            },
            leads: false,
        }
    }

    /// Applies a command to both states.
    fn propose(&mut self, command: Command) {
        let index = self.without.index + 1;
        self.with_repeats.apply(index, Some(&command));
        self.without.apply(index, Some(&command));
        self.proposed.push(command);
    }

    /// Applies an earlier command once more to the one state.
    fn repeat(&mut self) -> Reply {
        let count = self.proposed.len() as u64;
        let which = usize::try_from(self.below(count)).unwrap_or(0);
        let index = self.without.index + 1;
        self.without.apply(index, None);
        self.with_repeats.apply(index, Some(&self.proposed[which]))
    }
}

/// Guards against commands without an order: one that is proposed again after its answer was lost is
/// carried out a second time, after newer ones.
#[rstest]
fn a_late_repeat_of_any_command_changes_nothing(#[values(0, 1, 2, 3)] block: u64) {
    for seed in block * 100..(block + 1) * 100 {
        let mut history = History::new(seed);
        for number in 0..COMMANDS {
            let command = history.draw(number);
            history.propose(command);
            if history.below(3) == 0 {
                history.repeat();
            }

            let same = history.with_repeats == history.without;
            assert!(same, "seed {seed}, command {number}");
        }
    }
}
