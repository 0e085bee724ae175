//! One unit of work: a simple query, or the messages of an extended query up to its Sync.

use std::collections::HashMap;

use hemlockcrank_core::statement::{Class, classify};
use pgwire::messages::PgWireFrontendMessage;

use super::prepared::Prepared;
use crate::pg::{Frame, PgError, tag};

/// A unit, with what it does as a whole.
#[derive(Clone, Debug)]
pub(crate) struct Unit {
    pub(crate) frames: Vec<Frame>,
    pub(crate) class: Class,
    pub(crate) simple: bool,
    /// Text of the statement, where there is just one.
    pub(crate) text: String,
    /// Named statements from earlier units that this one needs.
    pub(crate) needs: Vec<String>,
    /// Whether a statement runs; otherwise some are only parsed, described or closed.
    pub(crate) executes: bool,
}

impl Unit {
    /// A simple query.
    pub(crate) fn simple(frame: Frame) -> Result<Self, PgError> {
        let PgWireFrontendMessage::Query(query) = frame.decode_frontend()? else {
            return Err(PgError::Unexpected(frame.tag));
        };
        Ok(Self {
            class: classify(&query.query),
            text: query.query,
            frames: vec![frame],
            simple: true,
            needs: Vec::new(),
            executes: true,
        })
    }

    /// An extended query. Named statements that it prepares or closes are noted in `prepared`.
    pub(crate) fn extended(
        frames: Vec<Frame>,
        prepared: &mut HashMap<String, Prepared>,
    ) -> Result<Self, PgError> {
        let mut reader = Reader {
            portals: HashMap::new(),
            local: HashMap::new(),
            classes: Vec::new(),
            needs: Vec::new(),
            texts: Vec::new(),
            executes: false,
        };
        for frame in &frames {
            reader.read(frame, prepared)?;
        }
        let text = match reader.texts.as_slice() {
            [one] => one.clone(),
            _ => String::new(),
        };
        Ok(Self {
            class: if reader.executes {
                combine(&reader.classes)
            } else {
                reader.class_unexecuted()
            },
            simple: false,
            text,
            needs: reader.needs,
            executes: reader.executes,
            frames,
        })
    }
}

struct Reader {
    portals: HashMap<String, String>,
    local: HashMap<String, Prepared>,
    classes: Vec<Class>,
    needs: Vec<String>,
    texts: Vec<String>,
    executes: bool,
}

impl Reader {
    fn read(
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
                self.local.insert(name, statement);
            }
            tag::BIND => {
                let PgWireFrontendMessage::Bind(bind) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                let statement = bind.statement_name.unwrap_or_default();
                self.need(&statement, prepared);
                self.portals
                    .insert(bind.portal_name.unwrap_or_default(), statement);
            }
            tag::DESCRIBE => {
                let PgWireFrontendMessage::Describe(describe) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                if describe.target_type == b'S' {
                    self.need(&describe.name.unwrap_or_default(), prepared);
                }
            }
            tag::EXECUTE => {
                let PgWireFrontendMessage::Execute(execute) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                self.executes = true;
                let statement = self.portals.get(&execute.name.unwrap_or_default());
                let found = statement.and_then(|name| self.local.get(name));
                self.classes
                    .push(found.map_or(Class::Write, |statement| statement.class.clone()));
            }
            tag::CLOSE => {
                let PgWireFrontendMessage::Close(close) = frame.decode_frontend()? else {
                    return Err(PgError::Unexpected(frame.tag));
                };
                if close.target_type == b'S' {
                    let name = close.name.unwrap_or_default();
                    self.need(&name, prepared);
                    prepared.remove(&name);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// What a unit needs in which nothing is executed: the proxy for its own settings, else any member.
    fn class_unexecuted(&self) -> Class {
        let mut classes = self.local.values().map(|statement| &statement.class);
        match (classes.next(), classes.next()) {
            (Some(own @ (Class::SetOwn { .. } | Class::ShowOwn { .. })), None) => own.clone(),
            _ => Class::Read,
        }
    }

    /// Notes that a statement of an earlier unit has to be there.
    fn need(&mut self, name: &str, prepared: &HashMap<String, Prepared>) {
        if self.local.contains_key(name) {
            return;
        }
        if let Some(statement) = prepared.get(name) {
            self.needs.push(name.to_owned());
            self.texts.push(statement.text.clone());
            self.local.insert(name.to_owned(), statement.clone());
        }
    }
}

/// What several executed statements do together.
fn combine(classes: &[Class]) -> Class {
    match classes {
        [one] => one.clone(),
        many if many.iter().all(|class| *class == Class::Read) => Class::Read,
        many if many.contains(&Class::Pin) => Class::Pin,
        _ => Class::Write,
    }
}
