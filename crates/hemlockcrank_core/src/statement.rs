//! Classification of SQL statements by their text.
//!
//! A statement counts as a read only if it certainly does nothing else; everything unclear counts
//! as a write.
//!
//! ```
//! use hemlockcrank_core::statement::{Class, classify};
//!
//! assert_eq!(classify("SELECT name FROM orders WHERE id = 7"), Class::Read);
//! assert_eq!(classify("SELECT nextval('orders_id')"), Class::Write);
//! assert_eq!(classify("SELECT 1 FROM orders FOR UPDATE"), Class::Write);
//! ```

use std::ops::ControlFlow;

use sqlparser::{
    ast::{
        Expr, Query, Set, SetExpr, Statement, TableFactor, TransactionAccessMode, TransactionMode,
        Visit, Visitor,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

/// Functions that only read, by lower-case name.
const READ_FUNCTIONS: &[&str] = &[
    "abs",
    "array_agg",
    "avg",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_database",
    "current_schema",
    "current_user",
    "date_trunc",
    "extract",
    "greatest",
    "json_agg",
    "jsonb_agg",
    "least",
    "left",
    "length",
    "lower",
    "max",
    "min",
    "now",
    "nullif",
    "octet_length",
    "pg_sleep",
    "position",
    "replace",
    "right",
    "round",
    "row_number",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
    "version",
];
/// Prefix of the proxy's own settings.
const OWN_SETTING_PREFIX: &str = "hemlockcrank.";

/// What a query string does as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Nothing to run.
    Empty,
    /// Reads only.
    Read,
    /// May write, or cannot be classified.
    Write,
    /// Opens a transaction.
    Begin {
        /// The transaction may only read.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Changes a session setting, which the proxy can apply to other connections.
    Set {
        /// Setting, in lower case.
        name: String,
    },
    /// Changes one of the proxy's own settings.
    SetOwn {
        /// Name after `hemlockcrank.`.
        name: String,
        /// New value.
        value: String,
    },
    /// Reads one of the proxy's own settings.
    ShowOwn {
        /// Name after `hemlockcrank.`.
        name: String,
    },
    /// Resets session settings.
    Reset,
    /// Transfers data outside of statements, as COPY does.
    Copy,
    /// Leaves state on the connection that cannot be moved to another one.
    Pin,
}

/// Classifies a query string. Several statements that are not all reads count as one write.
pub fn classify(text: &str) -> Class {
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, text) else {
        return Class::Write;
    };
    match statements.as_slice() {
        [] => Class::Empty,
        [statement] => classify_one(statement),
        statements => classify_many(statements),
    }
}

fn classify_many(statements: &[Statement]) -> Class {
    let classes: Vec<Class> = statements.iter().map(classify_one).collect();
    if classes.iter().all(|class| *class == Class::Read) {
        Class::Read
    } else if classes.contains(&Class::Copy) {
        Class::Copy
    } else if classes.contains(&Class::Pin) {
        Class::Pin
    } else {
        Class::Write
    }
}

fn classify_one(statement: &Statement) -> Class {
    match statement {
        Statement::Query(query) if only_reads(query) => Class::Read,
        Statement::ShowVariable { variable } => {
            let name = join_with_dots(variable.iter().map(|part| part.value.as_str()));
            match name.strip_prefix(OWN_SETTING_PREFIX) {
                Some(setting) => Class::ShowOwn {
                    name: setting.into(),
                },
                None => Class::Read,
            }
        }
        Statement::StartTransaction { modes, .. } => Class::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { chain: false, .. } => Class::Commit,
        Statement::Rollback {
            chain: false,
            savepoint: None,
        } => Class::Rollback,
        Statement::Set(set) => classify_set(set),
        Statement::Discard { .. } | Statement::Reset(_) => Class::Reset,
        Statement::Copy { .. } => Class::Copy,
        Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Declare { .. }
        | Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. } => Class::Pin,
        Statement::CreateTable(table) if table.temporary => Class::Pin,
        _ => Class::Write,
    }
}

fn classify_set(set: &Set) -> Class {
    let Set::SingleAssignment {
        scope,
        variable,
        values,
        ..
    } = set
    else {
        return Class::Pin;
    };
    if matches!(scope, Some(sqlparser::ast::ContextModifier::Local)) {
        return Class::Write;
    }
    let name = variable.to_string().to_lowercase();
    match name.strip_prefix(OWN_SETTING_PREFIX) {
        Some(setting) => Class::SetOwn {
            name: setting.to_owned(),
            value: join_with_dots(values.iter().map(unquote)),
        },
        None => Class::Set { name },
    }
}

fn unquote(value: &Expr) -> String {
    let text = value.to_string();
    let inner = text
        .strip_prefix('\'')
        .and_then(|rest| rest.strip_suffix('\''));
    inner.map_or(text.clone(), |inner| inner.replace("''", "'"))
}

fn join_with_dots<I, T>(parts: I) -> String
where
    I: Iterator<Item = T>,
    T: AsRef<str>,
{
    let parts: Vec<String> = parts.map(|part| part.as_ref().to_owned()).collect();
    parts.join(".")
}

fn only_reads(query: &Query) -> bool {
    query.visit(&mut ReadCheck).is_continue()
}

/// Stops at the first part of a query that may do more than read.
struct ReadCheck;

impl Visitor for ReadCheck {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        continue_if(query.locks.is_empty() && body_only_reads(&query.body))
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        let is_plain = matches!(
            factor,
            TableFactor::Table { args: None, .. }
                | TableFactor::Derived { .. }
                | TableFactor::NestedJoin { .. }
        );
        continue_if(is_plain)
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        let Expr::Function(function) = expr else {
            return ControlFlow::Continue(());
        };
        let name = function.name.to_string().to_lowercase();
        continue_if(READ_FUNCTIONS.contains(&name.as_str()))
    }
}

fn continue_if(condition: bool) -> ControlFlow<()> {
    if condition {
        ControlFlow::Continue(())
    } else {
        ControlFlow::Break(())
    }
}

/// Whether the body of a query only reads; nested queries are visited separately.
fn body_only_reads(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::SetOperation { left, right, .. } => {
            body_only_reads(left) && body_only_reads(right)
        }
        SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}
