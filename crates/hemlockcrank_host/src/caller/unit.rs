//! A unit of work: a simple query, or the messages of an extended query up to its Sync.

use std::collections::HashMap;

use hemlockcrank_core::statement::{Class, classify};
use pgwire::messages::PgWireFrontendMessage;

use super::prepared::Prepared;
use crate::pg::{Frame, PgError, tag};

/// A unit of work, classified by what it does as a whole.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) frames: Vec<Frame>,
    pub(crate) class: Class,
    /// Whether it is a simple query.
    pub(crate) simple: bool,
    /// Text of the statement; empty if there are several.
    pub(crate) text: String,
    /// Statements prepared by earlier units that this one uses.
    pub(crate) required_statements: Vec<String>,
    /// Whether a statement is executed; otherwise statements are only parsed, described or closed.
    pub(crate) executes: bool,
}

impl Unit {
    /// Builds a unit from a simple query.
    pub(crate) fn simple(frame: Frame) -> Result<Self, PgError> {
        let PgWireFrontendMessage::Query(query) = frame.decode_frontend()? else {
            return Err(PgError::Unexpected(frame.tag));
        };
        Ok(Self {
            class: classify(&query.query),
            text: query.query,
            frames: vec![frame],
            simple: true,
            required_statements: Vec::new(),
            executes: true,
        })
    }

    /// Builds a unit from an extended query, and adds to or removes from `prepared` the named
    /// statements that it prepares or closes.
    pub(crate) fn extended(
        frames: Vec<Frame>,
        prepared: &mut HashMap<String, Prepared>,
    ) -> Result<Self, PgError> {
        let mut analyzer = UnitAnalyzer {
            portals: HashMap::new(),
            statements: HashMap::new(),
            classes: Vec::new(),
            required_statements: Vec::new(),
            texts: Vec::new(),
            executes: false,
        };
        for frame in &frames {
            analyzer.analyze(frame, prepared)?;
        }
        let text = match analyzer.texts.as_slice() {
            [text] => text.clone(),
            _ => String::new(),
        };
        Ok(Self {
            class: if analyzer.executes {
                combine(&analyzer.classes)
            } else {
                analyzer.class_without_execute()
            },
            simple: false,
            text,
            required_statements: analyzer.required_statements,
            executes: analyzer.executes,
            frames,
        })
    }
}

/// Collects what the messages of an extended query do.
struct UnitAnalyzer {
    /// Statement names by portal.
    portals: HashMap<String, String>,
    /// Statements that the unit prepares or uses, by name.
    statements: HashMap<String, Prepared>,
    /// Classes of the executed statements.
    classes: Vec<Class>,
    required_statements: Vec<String>,
    /// Texts of the statements that the unit prepares or uses.
    texts: Vec<String>,
    executes: bool,
}

impl UnitAnalyzer {
    fn analyze(
        &mut self,
        frame: &Frame,
        prepared: &mut HashMap<String, Prepared>,
    ) -> Result<(), PgError> {
        match frame.tag {
            tag::PARSE => {
                let PgWireFrontendMessage::Parse(parse) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                let name = parse.name.unwrap_or_default();
                let statement = Prepared {
                    class: classify(&parse.query),
                    text: parse.query,
                    frame: frame.clone(),
                };
                self.texts.push(statement.text.clone());
                if !name.is_empty() {
                    prepared.insert(name.clone(), statement.clone());
                }
                self.statements.insert(name, statement);
            }
            tag::BIND => {
                let PgWireFrontendMessage::Bind(bind) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                let statement = bind.statement_name.unwrap_or_default();
                self.require_statement(&statement, prepared);
                self.portals
                    .insert(bind.portal_name.unwrap_or_default(), statement);
            }
            tag::DESCRIBE => {
                let PgWireFrontendMessage::Describe(describe) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                if describe.target_type == b'S' {
                    self.require_statement(&describe.name.unwrap_or_default(), prepared);
                }
            }
            tag::EXECUTE => {
                let PgWireFrontendMessage::Execute(execute) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                self.executes = true;
                let statement_name = self.portals.get(&execute.name.unwrap_or_default());
                let statement = statement_name.and_then(|name| self.statements.get(name));
                self.classes
                    .push(statement.map_or(Class::Write, |statement| statement.class.clone()));
            }
            tag::CLOSE => {
                let PgWireFrontendMessage::Close(close) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                if close.target_type == b'S' {
                    let name = close.name.unwrap_or_default();
                    self.require_statement(&name, prepared);
                    prepared.remove(&name);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Class of a unit in which nothing is executed: the proxy answers for its own settings, else
    /// any member can.
    fn class_without_execute(&self) -> Class {
        let mut classes = self.statements.values().map(|statement| &statement.class);
        match (classes.next(), classes.next()) {
            (Some(class @ (Class::SetOwn { .. } | Class::ShowOwn { .. })), None) => class.clone(),
            _ => Class::Read,
        }
    }

    /// Records the use of a statement that an earlier unit prepared.
    fn require_statement(&mut self, name: &str, prepared: &HashMap<String, Prepared>) {
        if self.statements.contains_key(name) {
            return;
        }
        if let Some(statement) = prepared.get(name) {
            self.required_statements.push(name.to_owned());
            self.texts.push(statement.text.clone());
            self.statements.insert(name.to_owned(), statement.clone());
        }
    }
}

/// Class of several executed statements together.
fn combine(classes: &[Class]) -> Class {
    match classes {
        [class] => class.clone(),
        classes if classes.iter().all(|class| *class == Class::Read) => Class::Read,
        classes if classes.contains(&Class::Pin) => Class::Pin,
        _ => Class::Write,
    }
}
