//! What a polling host receives, and the state that it reaches with it.

use std::sync::Arc;

use hemlockcrank_core::{
    Name,
    catalog::{Catalog, Delta, Draft, Freshness, Route, Service, Workspace},
    membership::Host,
    record::Rate,
    state::{Command, State},
    updates::{Answer, Content, Progress, Updates},
};

/// A configuration with that many routes and workspaces; `changed` names one route that has another
/// timeout.
fn catalog(version: u64, routes: u64, workspaces: u64, changed: Option<u64>) -> Arc<Catalog> {
    let route = |number: u64| Route {
        name: format!("route-{number}").into(),
        database: format!("database-{number}").into(),
        prefix: "/".into(),
        service: "ledger".into(),
        freshness: Freshness::Bounded,
        max_age_ms: 1_500,
        timeout_ms: if changed == Some(number) { 900 } else { 800 },
        objective_ms: 400,
        priority: 1,
        open: false,
    };
    let workspace = |number: u64| Workspace {
        name: format!("workspace-{number}").into(),
        keys: vec![format!("key-{number}").into()],
        rate: Some(Rate {
            per_second: 10,
            burst: 10,
        }),
    };
    let draft = Draft {
        version,
        routes: (0..routes).map(route).collect(),
        services: vec![Service {
            name: "ledger".into(),
            connections: 20,
            sync_replicas: 1,
        }],
        workspaces: (0..workspaces).map(workspace).collect(),
        text: format!("text of version {version}").into(),
        ..Draft::default()
    };
    Arc::new(Catalog::check(draft).expect("valid configuration"))
}

/// A host that keeps the entries it applies.
#[derive(Default)]
struct Parent {
    state: State,
    updates: Updates,
}

impl Parent {
    fn apply(&mut self, command: &Command) {
        let index = self.state.index + 1;
        let outcome = self.state.apply(index, Some(command));
        self.updates.push(index, Some(command), &outcome);
    }

    fn answer(&mut self, follower: &State, serves_operators: bool) -> Answer {
        let progress = Progress {
            applied: follower.index,
            catalog_version: follower.catalog.version(),
            serves_operators,
        };
        self.updates.answer(progress, &self.state)
    }
}

fn apply(answer: Answer, follower: &mut State) -> Vec<Content> {
    match answer {
        Answer::State(state) => {
            *follower = *state;
            Vec::new()
        }
        Answer::Updates(updates) => {
            let mut contents = Vec::new();
            for update in updates {
                contents.push(update.content.clone());
                let command = update.content.into_command(follower).expect("same base");
                follower.apply(update.index, command.as_ref());
            }
            contents
        }
    }
}

fn same_without_text(one: &Catalog, other: &Catalog) -> bool {
    one.without_text() == other.without_text()
}

#[test]
fn a_change_of_one_route_is_sent_without_the_other_routes() {
    let mut parent = Parent::default();
    let mut follower = State::default();
    parent.apply(&Command::Catalog(catalog(1, 1_000, 100, None)));
    apply(parent.answer(&follower, false), &mut follower);

    parent.apply(&Command::Catalog(catalog(2, 1_000, 100, Some(7))));
    let contents = apply(parent.answer(&follower, false), &mut follower);

    let [Content::Catalog(delta)] = contents.as_slice() else {
        unreachable!("{} contents", contents.len());
    };
    let shown = format!("{delta:?}");
    assert!(
        shown.contains("route-7") && !shown.contains("route-8"),
        "{shown}"
    );
    assert!(same_without_text(&follower.catalog, &parent.state.catalog));
}

/// Configurations that come in quick succession: a follower that missed them gets the last one alone.
#[test]
fn of_several_configurations_only_the_last_is_sent() {
    let mut parent = Parent::default();
    let mut follower = State::default();
    parent.apply(&Command::Catalog(catalog(1, 3, 2, None)));
    apply(parent.answer(&follower, false), &mut follower);

    for version in 2..40 {
        parent.apply(&Command::Catalog(catalog(version, version, version, None)));
        parent.apply(&Command::HostUp(Host::new(
            format!("host-{version}"),
            "zone",
        )));
    }
    let contents = apply(parent.answer(&follower, false), &mut follower);

    let configurations = contents.iter().filter(|content| {
        matches!(
            content,
            Content::Catalog(_) | Content::Command(Command::Catalog(_))
        )
    });
    assert_eq!(configurations.count(), 1);
    assert!(same_without_text(&follower.catalog, &parent.state.catalog));
    assert_eq!(follower.view, parent.state.view);
    assert_eq!(follower.index, parent.state.index);
}

/// The leader keeps at most one configuration for its followers; a late one that lost a race against a
/// higher version is never sent.
#[test]
fn a_configuration_that_lost_a_race_is_not_sent() {
    let mut parent = Parent::default();
    let mut follower = State::default();
    parent.apply(&Command::Catalog(catalog(9, 3, 2, None)));
    parent.apply(&Command::Catalog(catalog(5, 1, 1, None)));

    let contents = apply(parent.answer(&follower, false), &mut follower);

    assert_eq!(contents[1..], [Content::Nothing]);
    assert_eq!(follower.catalog.version(), 9);
}

#[test]
fn only_hosts_that_serve_operators_receive_the_text() {
    let mut parent = Parent::default();
    parent.apply(&Command::Catalog(catalog(1, 2, 2, None)));
    let (mut entry, mut control) = (State::default(), State::default());

    apply(parent.answer(&entry, false), &mut entry);
    apply(parent.answer(&control, true), &mut control);

    assert_eq!(&**entry.catalog.text(), "");
    assert_eq!(&**control.catalog.text(), "text of version 1");
}

#[test]
fn a_host_that_is_far_behind_gets_the_whole_state() {
    let mut parent = Parent::default();
    parent.apply(&Command::Catalog(catalog(1, 2, 2, None)));
    for number in 0..5_000_u64 {
        let host = Host {
            incarnation: number,
            ..Host::new("host", "zone")
        };
        parent.apply(&Command::HostUp(host));
    }
    let mut follower = State::default();

    let answer = parent.answer(&follower, false);
    assert!(matches!(answer, Answer::State(_)));
    apply(answer, &mut follower);

    assert_eq!(follower.index, parent.state.index);
    assert_eq!(follower.view, parent.state.view);
    assert!(same_without_text(&follower.catalog, &parent.state.catalog));
}

#[test]
fn a_change_applies_only_to_the_configuration_that_it_starts_from() {
    let (old, new, other) = (
        catalog(1, 5, 4, None),
        catalog(3, 4, 6, Some(2)),
        catalog(2, 5, 4, None),
    );

    let delta = Delta::between(&old, &new);

    let applied = delta.apply(&old).expect("the same configuration");
    assert!(same_without_text(&applied, &new));
    assert_eq!(delta.apply(&other), None);
    let removed: Name = "key-4".into();
    assert!(applied.workspace_by_key(&removed).is_some());
    assert!(applied.route("database-4").is_none());
}
