//! The extended query protocol: parse, bind, describe, execute, close.

use hemlockcrank_host::pg::PgError;
use pgwire::messages::{
    PgWireFrontendMessage,
    data::{NoData, ParameterDescription},
    extendedquery::{BindComplete, CloseComplete, ParseComplete},
};
use sqlparser::ast::Statement;

use super::{OID_TEXT, Session, decode_parameters, row_description};
use crate::{
    Point,
    engine::{self, Cell, Rows, SqlError, Type},
    member::lock,
};

impl Session {
    /// Handles one message of the extended query protocol; returns whether the connection stays
    /// open.
    pub(super) async fn handle_extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<bool, SqlError> {
        let protocol_error = |error: PgError| SqlError::new("08P01", error.to_string());
        match message {
            PgWireFrontendMessage::Parse(parse) => {
                engine::parse(&parse.query)?;
                let name = parse.name.unwrap_or_default();
                if !name.is_empty() && self.prepared.contains_key(&name) {
                    return Err(SqlError::new("42P05", format!("statement {name} exists")));
                }
                self.prepared.insert(name, parse.query);
                self.stream
                    .queue(&ParseComplete::new())
                    .map_err(protocol_error)?;
            }
            PgWireFrontendMessage::Bind(bind) => {
                let text = self.prepared_text(bind.statement_name.as_deref().unwrap_or(""))?;
                let params = decode_parameters(&bind)?;
                let portal = bind.portal_name.unwrap_or_default();
                let formats = bind.result_column_format_codes;
                self.portals.insert(portal, (text, params, formats));
                self.stream
                    .queue(&BindComplete::new())
                    .map_err(protocol_error)?;
            }
            PgWireFrontendMessage::Describe(describe) => {
                self.queue_description(
                    describe.target_type,
                    describe.name.as_deref().unwrap_or(""),
                )?;
            }
            PgWireFrontendMessage::Execute(execute) => {
                let portal = execute.name.unwrap_or_default();
                let Some((text, params, formats)) = self.portals.get(&portal).cloned() else {
                    return Err(SqlError::new("34000", format!("no portal {portal}")));
                };
                if !self.trigger_fault(&text, Point::BeforeRun).await {
                    return Ok(false);
                }
                let rows = self.run_portal(&text, &params).await?;
                if !self.trigger_fault(&text, Point::AfterRun).await {
                    return Ok(false);
                }
                if let Some(fault) = self.member.take_fault(&text, Point::MidAnswer) {
                    self.flush().await.map_err(protocol_error)?;
                    if !self.apply_fault(fault.action).await {
                        return Ok(false);
                    }
                }
                self.queue_rows(&rows, &formats).map_err(protocol_error)?;
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.stream
                    .queue(&CloseComplete::new())
                    .map_err(protocol_error)?;
            }
            _ => return Err(SqlError::new("0A000", "message is not known here")),
        }
        Ok(true)
    }

    pub(super) fn prepared_text(&self, name: &str) -> Result<String, SqlError> {
        let text = self.prepared.get(name).cloned();
        text.ok_or_else(|| SqlError::new("26000", format!("no statement {name}")))
    }

    pub(super) async fn run_portal(
        &mut self,
        text: &str,
        params: &[Cell],
    ) -> Result<Rows, SqlError> {
        if let Some(rows) = self.builtin(text)? {
            return Ok(rows);
        }
        match engine::parse(text)?.pop() {
            Some(statement) => self.run_statement(text, statement, params).await,
            None => Ok(Rows::default()),
        }
    }

    /// Queues the description of a prepared statement or a portal. The columns of a query come from
    /// running it on a copy of the tables; a prepared statement runs with empty strings as parameters.
    pub(super) fn queue_description(&mut self, target: u8, name: &str) -> Result<(), SqlError> {
        let protocol_error = |error: PgError| SqlError::new("08P01", error.to_string());
        let (text, params, formats) = if target == b'S' {
            let text = self.prepared_text(name)?;
            let count = (1..)
                .take_while(|number| text.contains(&format!("${number}")))
                .count();
            let types = ParameterDescription::new(vec![OID_TEXT; count]);
            self.stream.queue(&types).map_err(protocol_error)?;
            (text, vec![Some(String::new()); count], Vec::new())
        } else {
            let portal = self.portals.get(name).cloned();
            portal.ok_or_else(|| SqlError::new("34000", format!("no portal {name}")))?
        };
        let columns = match self.builtin_columns(&text) {
            Some(columns) => columns,
            None => self.dry_run(&text, &params)?,
        };
        if columns.is_empty() {
            self.stream.queue(&NoData::new()).map_err(protocol_error)
        } else {
            let message = row_description(&columns, &formats);
            self.stream.queue(&message).map_err(protocol_error)
        }
    }

    pub(super) fn builtin_columns(&self, text: &str) -> Option<Vec<(String, Type)>> {
        let is_status = text.contains("FROM hemlockcrank_status");
        is_status.then(|| self.status().columns)
    }

    /// Columns of a query's result; empty for other statements.
    pub(super) fn dry_run(
        &self,
        text: &str,
        params: &[Cell],
    ) -> Result<Vec<(String, Type)>, SqlError> {
        let Some(statement @ Statement::Query(_)) = engine::parse(text)?.pop() else {
            return Ok(Vec::new());
        };
        let mut tables = match &self.transaction {
            Some(transaction) => transaction.tables.clone(),
            None => lock(&self.member.state).tables.clone(),
        };
        Ok(tables.run(&statement, params)?.columns)
    }
}
