//! Explores every interleaving of writes, replication, acknowledgements and two overlapping changes
//! of primary, with the real [`Handoff`] and the real acknowledgement rule. Orders may be late or
//! lost.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use hemlockcrank_core::{
    Name,
    directory::{Role, TermStart},
    failover::{Handoff, Order, Status, Step},
    request::commit_survived,
    session::{Position, floor, is_acknowledged},
};
use pathfinding::directed::bfs::bfs_reach;

const MEMBERS: usize = 3;
const WRITES: u8 = 2;
const ROUNDS: u8 = 4;

/// Injected fault, which the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// One adopter is enough for a promotion.
    OneAdopter,
    /// Acknowledgements are counted regardless of their terms.
    IgnoresTerms,
    /// Commits are resolved before a majority holds an entry of the new primary's own term.
    ResolvesEarly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    adopted: u64,
    role: Role,
    /// Term and id of each write.
    log: Vec<(u64, u8)>,
}

impl Member {
    fn last(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.0);
        Position::new(term, self.log.len() as u64)
    }

    fn status(&self) -> Status {
        Status {
            adopted: self.adopted,
            role: self.role,
            last: self.last(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Executor {
    term: u64,
    handoff: Handoff,
    answers: BTreeMap<usize, Status>,
    rounds: u8,
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    id: u8,
    position: Position,
    reports: BTreeMap<usize, (u64, Position)>,
    acknowledged: bool,
    /// Whether the write survived a change of primary, as resolved by a host.
    survived: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Committed term, primary and its base.
    committed: (u64, usize, Option<TermStart>),
    members: Vec<Member>,
    executors: Vec<Executor>,
    /// Orders in flight: executor, whether the order is a promotion, member.
    orders: BTreeSet<(usize, bool, usize)>,
    writes: Vec<Write>,
}

fn name(index: usize) -> Name {
    format!("m{index}").into()
}

fn start(fault: Fault) -> State {
    let members = (0..MEMBERS).map(|index| Member {
        adopted: 1,
        role: if index == 0 {
            Role::Primary
        } else {
            Role::Replica
        },
        log: Vec::new(),
    });
    let quorum = if fault == Fault::OneAdopter { 1 } else { 2 };
    let executors = [2, 3].map(|term| Executor {
        term,
        handoff: Handoff::new(term, (0..MEMBERS).map(name), quorum, None),
        answers: BTreeMap::new(),
        rounds: 0,
        done: false,
    });
    State {
        members: members.collect(),
        executors: executors.to_vec(),
        orders: BTreeSet::new(),
        writes: Vec::new(),
        committed: (1, 0, None),
    }
}

/// The executor processes the answers it has and sends its next orders.
fn run_round(state: &mut State, index: usize) {
    let executor = &mut state.executors[index];
    let answers: Vec<(Name, Status)> = executor
        .answers
        .iter()
        .map(|(member, status)| (name(*member), *status))
        .collect();
    executor.answers.clear();
    executor.rounds += 1;
    match executor.handoff.step(&answers) {
        Step::Send(order, members) => {
            for member in 0..MEMBERS {
                if members.contains(&name(member)) {
                    state
                        .orders
                        .insert((index, order == Order::Promote, member));
                }
            }
        }
        Step::Poll(_) => {}
        Step::Superseded => executor.done = true,
        Step::Done(member) => {
            executor.done = true;
            let (term, last) = (executor.term, executor.handoff.base());
            let from_term = state.committed.0;
            if term > from_term {
                let primary = (0..MEMBERS)
                    .find(|index| name(*index) == member)
                    .unwrap_or(0);
                let base = last.map(|last| TermStart {
                    previous_term: from_term,
                    last,
                });
                state.committed = (term, primary, base);
            }
        }
    }
}

/// A member executes an order, or refuses it if it has adopted a newer term.
fn apply_order(
    state: &mut State,
    (executor, promote, member): (usize, bool, usize),
) -> Result<(), String> {
    state.orders.remove(&(executor, promote, member));
    let term = state.executors[executor].term;
    let target = &mut state.members[member];
    if promote && target.adopted == term && target.role != Role::Primary {
        target.role = Role::Primary;
        target.log.push((term, 0));
        check_promoted(state, member)?;
    } else if !promote && term > target.adopted {
        target.adopted = term;
        target.role = Role::Replica;
    }
    let status = state.members[member].status();
    state.executors[executor].answers.insert(member, status);
    Ok(())
}

/// Checks that a new primary holds every acknowledged write and is the only one of its term.
fn check_promoted(state: &State, member: usize) -> Result<(), String> {
    let promoted = &state.members[member];
    for write in state.writes.iter().filter(|write| write.acknowledged) {
        if !promoted.log.contains(&(write.position.term, write.id)) {
            return Err(format!("write {} is lost by a promotion", write.id));
        }
    }
    for write in &state.writes {
        let holds = promoted.log.contains(&(write.position.term, write.id));
        if write.survived.is_some_and(|survived| survived != holds) {
            return Err(format!("write {} was resolved and then changed", write.id));
        }
    }
    let rivals = state
        .members
        .iter()
        .filter(|other| other.role == Role::Primary && other.adopted == promoted.adopted);
    if rivals.count() > 1 {
        return Err(format!("two primaries in term {}", promoted.adopted));
    }
    Ok(())
}

fn write(state: &mut State, member: usize) {
    let id = state.writes.len() as u8 + 1;
    let target = &mut state.members[member];
    target.log.push((target.adopted, id));
    let position = target.last();
    state.writes.push(Write {
        id,
        position,
        reports: BTreeMap::new(),
        acknowledged: false,
        survived: None,
    });
}

/// A host resolves the outcome of a commit by its position and the base of the committed primary,
/// once a majority holds an entry of that primary's own term.
fn resolve(state: &State, write: usize, fault: Fault) -> Option<State> {
    let (term, primary, base) = state.committed;
    let primary = &state.members[primary];
    let reports: Vec<(u64, Position)> = state
        .members
        .iter()
        .map(|member| (member.adopted, member.last()))
        .collect();
    let pending = &state.writes[write];
    if pending.acknowledged || pending.survived.is_some() {
        return None;
    }
    let own_term = primary.adopted == primary.last().term;
    let majority_position = match fault {
        Fault::ResolvesEarly => Position::new(term, 1),
        _ if own_term && is_acknowledged(MEMBERS, primary.last(), &reports) => primary.last(),
        _ => return None,
    };
    let survived = commit_survived(pending.position, term, &base?, majority_position)?;
    let mut copy = state.clone();
    copy.writes[write].survived = Some(survived);
    Some(copy)
}

/// The host that waits for a write samples one member, and acknowledges the write when the rule
/// allows it.
fn sample(state: &mut State, write: usize, member: usize, fault: Fault) -> Result<(), String> {
    let sampled = &state.members[member];
    let report = (sampled.adopted, sampled.last());
    let write = &mut state.writes[write];
    write.reports.insert(member, report);
    let mut reports: Vec<(u64, Position)> = write.reports.values().copied().collect();
    if fault == Fault::IgnoresTerms {
        for (adopted, last) in &mut reports {
            *adopted = write.position.term;
            last.term = write.position.term;
        }
    }
    write.acknowledged = is_acknowledged(MEMBERS, write.position, &reports);
    if !write.acknowledged {
        return Ok(());
    }
    let (id, position) = (write.id, write.position);
    check_acknowledged(state, id, position)
}

/// Checks that an acknowledged write is in the newest primary of its own or a later term, and that
/// every read floor covers it. A primary of an earlier term may still act as primary, but it
/// cannot acknowledge anything.
fn check_acknowledged(state: &State, id: u8, position: Position) -> Result<(), String> {
    let primaries = state.members.iter().filter(|m| m.role == Role::Primary);
    let later = primaries.filter(|member| member.adopted >= position.term);
    let newest = later.max_by_key(|member| member.adopted);
    if newest.is_some_and(|newest| !newest.log.contains(&(position.term, id))) {
        return Err(format!(
            "write {id} is acknowledged by a superseded primary"
        ));
    }
    check_read_floors(state)
}

/// Checks that any member at the floor of any majority of samples holds every acknowledged write.
fn check_read_floors(state: &State) -> Result<(), String> {
    for left_out in 0..=MEMBERS {
        let sampled = (0..MEMBERS).filter(|member| *member != left_out);
        let samples: Vec<Position> = sampled.map(|m| state.members[m].last()).collect();
        let Some(floor) = floor(MEMBERS, &samples) else {
            continue;
        };
        for member in state.members.iter().filter(|m| m.last() >= floor) {
            for write in state.writes.iter().filter(|write| write.acknowledged) {
                if !member.log.contains(&(write.position.term, write.id)) {
                    return Err(format!("a read at the floor misses write {}", write.id));
                }
            }
        }
    }
    Ok(())
}

fn replicate(state: &mut State, from: usize, to: usize) -> bool {
    let (source, target) = (&state.members[from], &state.members[to]);
    let follows = source.role == Role::Primary && source.adopted == target.adopted;
    if !follows || source.log == target.log || target.role == Role::Primary {
        return false;
    }
    let shared_entries = source
        .log
        .iter()
        .zip(&target.log)
        .take_while(|(a, b)| a == b);
    let common = shared_entries.count();
    let next = source.log.get(common).copied();
    let target = &mut state.members[to];
    target.log.truncate(common);
    target.log.extend(next);
    true
}

fn successors(state: &State, fault: Fault) -> Result<Vec<State>, String> {
    let mut next = Vec::new();
    for (index, executor) in state.executors.iter().enumerate() {
        let predecessor_ran = index == 0 || state.executors[index - 1].rounds > 0;
        if !executor.done && executor.rounds < ROUNDS && predecessor_ran {
            let mut copy = state.clone();
            run_round(&mut copy, index);
            next.push(copy);
        }
    }
    for order in &state.orders {
        let mut copy = state.clone();
        apply_order(&mut copy, *order)?;
        next.push(copy);
    }
    for from in 0..MEMBERS {
        if state.writes.len() < usize::from(WRITES) && state.members[from].role == Role::Primary {
            let mut copy = state.clone();
            write(&mut copy, from);
            next.push(copy);
        }
        for to in 0..MEMBERS {
            let mut copy = state.clone();
            if from != to && replicate(&mut copy, from, to) {
                check_read_floors(&copy)?;
                next.push(copy);
            }
        }
    }
    for (index, write) in state.writes.iter().enumerate() {
        next.extend(resolve(state, index, fault));
        for member in 0..MEMBERS {
            let current = &state.members[member];
            let changed = write.reports.get(&member) != Some(&(current.adopted, current.last()));
            if !write.acknowledged && changed {
                let mut copy = state.clone();
                sample(&mut copy, index, member, fault)?;
                next.push(copy);
            }
        }
    }
    Ok(next)
}

/// Explores states breadth first until a violation or `limit`; returns their number and the
/// violation.
fn explore(fault: Fault, limit: usize) -> (usize, Option<String>) {
    explore_from(start(fault), fault, limit)
}

fn explore_from(start: State, fault: Fault, limit: usize) -> (usize, Option<String>) {
    let violation = RefCell::new(None);
    let reach = bfs_reach(start, |state| {
        if violation.borrow().is_some() {
            return Vec::new();
        }
        successors(state, fault).unwrap_or_else(|message| {
            *violation.borrow_mut() = Some(message);
            Vec::new()
        })
    });
    let count = reach.take(limit).count();
    (count, violation.into_inner())
}

/// Number of states that CI explores, breadth first. The long command in docs/PROOFS.md explores
/// the whole space.
fn limit() -> usize {
    let setting = std::env::var("EXPLORE_LIMIT").ok();
    setting
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(400_000)
}

#[test]
fn no_acknowledged_write_is_lost_by_overlapping_changes_of_primary() {
    let (states, violation) = explore(Fault::None, limit());
    println!("explored {states} states ({WRITES} writes, 2 changes, {ROUNDS} rounds each)");
    assert_eq!(violation, None);
    assert!(states > 100_000, "only {states} states were explored");
}

#[test]
fn a_promotion_without_a_majority_is_caught() {
    let (states, violation) = explore(Fault::OneAdopter, limit());
    println!("caught after {states} states");
    assert!(violation.is_some());
}

#[test]
fn an_acknowledgement_that_ignores_terms_is_caught() {
    let (states, violation) = explore(Fault::IgnoresTerms, limit());
    println!("caught after {states} states");
    assert!(violation.is_some());
}

/// The state after a write that only the first primary holds, and a committed change of primary
/// without it.
fn after_a_change(fault: Fault) -> State {
    let mut state = start(fault);
    write(&mut state, 0);
    run_round(&mut state, 0);
    for order in [(0, false, 1), (0, false, 2)] {
        apply_order(&mut state, order).expect("adopt");
    }
    run_round(&mut state, 0);
    let promotion = state.orders.iter().find(|order| order.1).copied();
    apply_order(&mut state, promotion.expect("a promotion")).expect("promote");
    run_round(&mut state, 0);
    assert_eq!(state.committed.0, 2);
    state
}

#[test]
fn a_commit_resolved_after_the_first_entry_of_the_new_primary_never_changes() {
    let start = after_a_change(Fault::None);
    let (states, violation) = explore_from(start, Fault::None, limit());
    println!("explored {states} states after a change");
    assert_eq!(violation, None);
    assert!(states > 10_000, "only {states} states were explored");
}

#[test]
fn a_commit_resolved_before_the_first_entry_of_the_new_primary_is_caught() {
    let start = after_a_change(Fault::ResolvesEarly);
    let (states, violation) = explore_from(start, Fault::ResolvesEarly, limit());
    println!("caught after {states} states");
    assert!(violation.is_some_and(|message| message.contains("resolved and then changed")));
}
