//! A minimal SQL engine: tables of text columns with an optional primary key.
//!
//! It supports `CREATE TABLE [IF NOT EXISTS]`, `INSERT ... VALUES`, `UPDATE`, `DELETE` and `SELECT`
//! with equality conditions joined by `AND`, `count(*)`, literals, and `pg_sleep`.

use std::{collections::BTreeMap, sync::Arc};

use sqlparser::{
    ast::{
        AssignmentTarget, BinaryOperator, ColumnOption, Expr, FromTable, FunctionArg,
        FunctionArgExpr, FunctionArguments, Insert, ObjectName, Query, SelectItem, SetExpr,
        Statement, TableConstraint, TableFactor, TableObject, TableWithJoins, Value,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};
use thiserror::Error;

/// A value; `None` is NULL.
pub type Cell = Option<String>;

/// Why a statement fails, with its SQLSTATE.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct SqlError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Message text.
    pub message: String,
}

impl SqlError {
    /// An error with its SQLSTATE.
    pub fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new("0A000", format!("the stand-in does not know: {what}"))
    }
}

/// Type of a result column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Type {
    /// text
    Text,
    /// int8
    Int8,
}

/// Result of a statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Column names and types; empty for statements without a result.
    pub columns: Vec<(String, Type)>,
    /// Rows, each with one cell per column.
    pub rows: Vec<Vec<Cell>>,
    /// Command tag.
    pub tag: String,
    /// Time to sleep before answering, in milliseconds.
    pub sleep_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Table {
    columns: Vec<String>,
    /// Index of the primary key column.
    key: Option<usize>,
    rows: Vec<Vec<Cell>>,
}

/// All tables of a database; cheap to clone, as clones share tables until one changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tables {
    tables: BTreeMap<String, Arc<Table>>,
}

/// Parses a query string.
///
/// # Errors
///
/// SQLSTATE 42601 when it is not valid SQL.
pub fn parse(text: &str) -> Result<Vec<Statement>, SqlError> {
    Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::new("42601", error.to_string()))
}

/// Whether a statement changes tables.
pub fn is_write(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::CreateTable(_)
            | Statement::Insert(_)
            | Statement::Update { .. }
            | Statement::Delete(_)
            | Statement::Drop { .. }
    )
}

impl Tables {
    /// Runs one statement with its parameters.
    ///
    /// # Errors
    ///
    /// [`SqlError`]; the tables are unchanged then.
    pub fn run(&mut self, statement: &Statement, params: &[Cell]) -> Result<Rows, SqlError> {
        match statement {
            Statement::CreateTable(create) => {
                let name = create.name.to_string();
                if self.tables.contains_key(&name) {
                    if create.if_not_exists {
                        return Ok(empty_result("CREATE TABLE"));
                    }
                    return Err(SqlError::new("42P07", format!("table {name} exists")));
                }
                let table = Table {
                    columns: create
                        .columns
                        .iter()
                        .map(|c| c.name.value.clone())
                        .collect(),
                    key: key_column(create),
                    rows: Vec::new(),
                };
                self.tables.insert(name, Arc::new(table));
                Ok(empty_result("CREATE TABLE"))
            }
            Statement::Insert(insert) => self.insert(insert, params),
            Statement::Update(update) => {
                let name = single_table(&update.table)?;
                let table = self.table_mut(&name)?;
                let condition = parse_condition(table, update.selection.as_ref(), params)?;
                let mut changes = Vec::new();
                for assignment in &update.assignments {
                    let AssignmentTarget::ColumnName(target) = &assignment.target else {
                        return Err(SqlError::unsupported("tuple assignment"));
                    };
                    let column = table.column(&target.to_string())?;
                    changes.push((column, evaluate_literal(&assignment.value, params)?));
                }
                let mut count = 0;
                for row in table.rows.iter_mut().filter(|row| condition.matches(row)) {
                    for (column, cell) in &changes {
                        row[*column].clone_from(cell);
                    }
                    count += 1;
                }
                Ok(empty_result(&format!("UPDATE {count}")))
            }
            Statement::Delete(delete) => {
                let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) =
                    &delete.from;
                let Some(first) = from.first() else {
                    return Err(SqlError::unsupported("DELETE without a table"));
                };
                let name = single_table(first)?;
                let table = self.table_mut(&name)?;
                let condition = parse_condition(table, delete.selection.as_ref(), params)?;
                let before = table.rows.len();
                table.rows.retain(|row| !condition.matches(row));
                let count = before - table.rows.len();
                Ok(empty_result(&format!("DELETE {count}")))
            }
            Statement::Query(query) => self.select(query, params),
            Statement::Set(_) | Statement::Discard { .. } | Statement::Reset(_) => {
                Ok(empty_result("SET"))
            }
            other => Err(SqlError::unsupported(other)),
        }
    }

    fn table(&self, name: &str) -> Result<&Table, SqlError> {
        let table = self.tables.get(name).map(AsRef::as_ref);
        table.ok_or_else(|| SqlError::new("42P01", format!("table {name} does not exist")))
    }

    fn table_mut(&mut self, name: &str) -> Result<&mut Table, SqlError> {
        let table = self.tables.get_mut(name).map(Arc::make_mut);
        table.ok_or_else(|| SqlError::new("42P01", format!("table {name} does not exist")))
    }

    fn insert(&mut self, insert: &Insert, params: &[Cell]) -> Result<Rows, SqlError> {
        let TableObject::TableName(name) = &insert.table else {
            return Err(SqlError::unsupported("INSERT into a function"));
        };
        let name = name.to_string();
        let table = self.table_mut(&name)?;
        let Some(SetExpr::Values(values)) = insert.source.as_ref().map(|s| s.body.as_ref()) else {
            return Err(SqlError::unsupported("INSERT without VALUES"));
        };
        let mut targets = Vec::new();
        for column in &insert.columns {
            targets.push(table.column(&column.to_string())?);
        }
        if targets.is_empty() {
            targets = (0..table.columns.len()).collect();
        }
        let mut added = Vec::new();
        for exprs in &values.rows {
            let mut row = vec![None; table.columns.len()];
            for (target, expr) in targets.iter().zip(exprs.iter()) {
                row[*target] = evaluate_literal(expr, params)?;
            }
            if let Some(key) = table.key {
                let has_same_key = |other: &Vec<Cell>| other[key] == row[key];
                if table.rows.iter().chain(&added).any(has_same_key) {
                    return Err(SqlError::new("23505", format!("duplicate key in {name}")));
                }
            }
            added.push(row);
        }
        let count = added.len();
        table.rows.extend(added);
        Ok(empty_result(&format!("INSERT 0 {count}")))
    }

    fn select(&self, query: &Query, params: &[Cell]) -> Result<Rows, SqlError> {
        let SetExpr::Select(select) = query.body.as_ref() else {
            return Err(SqlError::unsupported(query));
        };
        let Some(from) = select.from.first() else {
            return select_literals(&select.projection, params);
        };
        let name = single_table(from)?;
        let table = self.table(&name)?;
        let condition = parse_condition(table, select.selection.as_ref(), params)?;
        let rows: Vec<&Vec<Cell>> = table
            .rows
            .iter()
            .filter(|row| condition.matches(row))
            .collect();
        if is_count(&select.projection) {
            return Ok(Rows {
                columns: vec![("count".into(), Type::Int8)],
                rows: vec![vec![Some(rows.len().to_string())]],
                tag: "SELECT 1".into(),
                sleep_ms: 0,
            });
        }
        let mut columns = Vec::new();
        for item in &select.projection {
            match item {
                SelectItem::Wildcard(_) => columns.extend(0..table.columns.len()),
                SelectItem::UnnamedExpr(expr) => columns.push(table.column(&expr.to_string())?),
                other => return Err(SqlError::unsupported(other)),
            }
        }
        let cells = |row: &&Vec<Cell>| columns.iter().map(|c| row[*c].clone()).collect();
        let column_types = columns
            .iter()
            .map(|c| (table.columns[*c].clone(), Type::Text));
        Ok(Rows {
            columns: column_types.collect(),
            tag: format!("SELECT {}", rows.len()),
            rows: rows.iter().map(cells).collect(),
            sleep_ms: 0,
        })
    }
}

impl Table {
    fn column(&self, name: &str) -> Result<usize, SqlError> {
        let index = self.columns.iter().position(|column| column == name);
        index.ok_or_else(|| SqlError::new("42703", format!("column {name} does not exist")))
    }
}

/// A result with a command tag and no rows.
pub fn empty_result(tag: &str) -> Rows {
    Rows {
        tag: tag.to_owned(),
        ..Rows::default()
    }
}

/// Columns and the values that they must have.
struct Condition {
    equalities: Vec<(usize, Cell)>,
}

impl Condition {
    fn matches(&self, row: &[Cell]) -> bool {
        self.equalities
            .iter()
            .all(|(column, cell)| row[*column] == *cell)
    }
}

/// Parses a `WHERE` clause of equalities joined by `AND`.
fn parse_condition(
    table: &Table,
    selection: Option<&Expr>,
    params: &[Cell],
) -> Result<Condition, SqlError> {
    let mut equalities = Vec::new();
    let mut pending: Vec<&Expr> = selection.into_iter().collect();
    while let Some(expr) = pending.pop() {
        match expr {
            Expr::BinaryOp {
                left,
                op: BinaryOperator::And,
                right,
            } => pending.extend([left.as_ref(), right.as_ref()]),
            Expr::BinaryOp {
                left,
                op: BinaryOperator::Eq,
                right,
            } => equalities.push((
                table.column(&left.to_string())?,
                evaluate_literal(right, params)?,
            )),
            Expr::Nested(inner) => pending.push(inner),
            other => return Err(SqlError::unsupported(other)),
        }
    }
    Ok(Condition { equalities })
}

/// Index of the column declared as primary key, in its own definition or in a table constraint.
fn key_column(create: &sqlparser::ast::CreateTable) -> Option<usize> {
    let column_key = create.columns.iter().position(|column| {
        let is_key =
            |o: &sqlparser::ast::ColumnOptionDef| matches!(o.option, ColumnOption::PrimaryKey(_));
        column.options.iter().any(is_key)
    });
    let table_key = create
        .constraints
        .iter()
        .find_map(|constraint| match constraint {
            TableConstraint::PrimaryKey(key) => key.columns.first().map(ToString::to_string),
            _ => None,
        });
    let by_name = |name: String| create.columns.iter().position(|c| c.name.value == name);
    column_key.or_else(|| table_key.and_then(by_name))
}

fn single_table(from: &TableWithJoins) -> Result<String, SqlError> {
    match &from.relation {
        TableFactor::Table { name, .. } if from.joins.is_empty() => Ok(table_name(name)),
        other => Err(SqlError::unsupported(other)),
    }
}

fn table_name(name: &ObjectName) -> String {
    name.to_string()
}

fn is_count(projection: &[SelectItem]) -> bool {
    matches!(projection, [SelectItem::UnnamedExpr(Expr::Function(f))] if f.name.to_string() == "count")
}

fn evaluate_literal(expr: &Expr, params: &[Cell]) -> Result<Cell, SqlError> {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::Null => Ok(None),
            Value::Placeholder(placeholder) => {
                let number: usize = placeholder.trim_start_matches('$').parse().unwrap_or(0);
                let param = number.checked_sub(1).and_then(|index| params.get(index));
                param
                    .cloned()
                    .ok_or_else(|| SqlError::new("08P01", format!("no parameter {placeholder}")))
            }
            Value::Number(number, _) => Ok(Some(number.clone())),
            Value::Boolean(flag) => Ok(Some(flag.to_string())),
            other => other
                .clone()
                .into_string()
                .map(Some)
                .ok_or_else(|| SqlError::unsupported(expr)),
        },
        Expr::Cast { expr, .. } | Expr::Nested(expr) => evaluate_literal(expr, params),
        other => Err(SqlError::unsupported(other)),
    }
}

fn select_literals(projection: &[SelectItem], params: &[Cell]) -> Result<Rows, SqlError> {
    let mut rows = empty_result("SELECT 1");
    let mut cells = Vec::new();
    for item in projection {
        let expr = match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => expr,
            other => return Err(SqlError::unsupported(other)),
        };
        let name = match item {
            SelectItem::ExprWithAlias { alias, .. } => alias.value.clone(),
            _ => "?column?".to_owned(),
        };
        if let Some(seconds) = sleep_seconds(expr) {
            rows.sleep_ms += (seconds * 1_000.0) as u64;
            cells.push(Some(String::new()));
        } else {
            cells.push(evaluate_literal(expr, params)?);
        }
        rows.columns.push((name, Type::Text));
    }
    rows.rows.push(cells);
    Ok(rows)
}

/// Argument of a call to `pg_sleep`; `None` for any other expression.
fn sleep_seconds(expr: &Expr) -> Option<f64> {
    let Expr::Function(function) = expr else {
        return None;
    };
    if function.name.to_string() != "pg_sleep" {
        return None;
    }
    let FunctionArguments::List(list) = &function.args else {
        return None;
    };
    match list.args.first() {
        Some(FunctionArg::Unnamed(FunctionArgExpr::Expr(expr))) => expr.to_string().parse().ok(),
        _ => None,
    }
}
