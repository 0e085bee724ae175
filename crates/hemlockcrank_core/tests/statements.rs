//! Classification of statements: everything that is not certainly a read counts as a write.

use hemlockcrank_core::statement::{Class, classify};
use rstest::rstest;

#[rstest]
#[case("SELECT 1")]
#[case("SELECT a, count(*) FROM t WHERE b = $1 GROUP BY a")]
#[case("WITH x AS (SELECT * FROM t) SELECT * FROM x JOIN y ON x.a = y.a")]
#[case("SELECT a FROM t UNION SELECT b FROM u")]
#[case("SHOW search_path")]
#[case("SELECT 1; SELECT 2")]
#[case("VALUES (1)")]
fn reads(#[case] text: &str) {
    assert_eq!(classify(text), Class::Read);
}

#[rstest]
#[case("INSERT INTO t VALUES (1)")]
#[case("SELECT nextval('s')")]
#[case("SELECT a FROM t FOR UPDATE")]
#[case("SELECT * FROM (SELECT a FROM t FOR SHARE) AS x")]
#[case("SELECT a INTO u FROM t")]
#[case("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x")]
#[case("SELECT * FROM set_config('a', 'b', false)")]
#[case("SELECT 1 UNION SELECT * FROM do_it()")]
#[case("SELECT a FROM t WHERE b IN (SELECT grab(1))")]
#[case("EXPLAIN ANALYZE DELETE FROM t")]
#[case("not sql at all")]
#[case("SELECT 1; DELETE FROM t")]
#[case("SET LOCAL work_mem = '1MB'")]
#[case("ROLLBACK TO SAVEPOINT s")]
#[case("COMMIT AND CHAIN")]
fn writes(#[case] text: &str) {
    assert_eq!(classify(text), Class::Write);
}

#[rstest]
#[case("", Class::Empty)]
#[case("BEGIN", Class::Begin { read_only: false })]
#[case("START TRANSACTION READ ONLY", Class::Begin { read_only: true })]
#[case("COMMIT", Class::Commit)]
#[case("END", Class::Commit)]
#[case("ROLLBACK", Class::Rollback)]
#[case("SET search_path = a", Class::Set { name: "search_path".into() })]
#[case("SET hemlockcrank.max_age = '10s'", Class::SetOwn { name: "max_age".into(), value: "10s".into() })]
#[case("SHOW hemlockcrank.session", Class::ShowOwn { name: "session".into() })]
#[case("DISCARD ALL", Class::Reset)]
#[case("RESET ALL", Class::Reset)]
#[case("LISTEN c", Class::Pin)]
#[case("CREATE TEMPORARY TABLE t (a int)", Class::Pin)]
#[case("PREPARE p AS SELECT 1", Class::Pin)]
#[case("COPY t FROM STDIN", Class::Copy)]
fn other_classes(#[case] text: &str, #[case] class: Class) {
    assert_eq!(classify(text), class);
}
