//! The statements of the scripted member.

use super::{Io, Session};
use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{CommandComplete, ErrorResponse};
use pgwire::messages::startup::ParameterStatus;

impl Session {
    pub(super) async fn statement(&mut self, text: &str) -> Io<()> {
        if !text.starts_with("SHOW") {
            self.script().statements.push((self.number, text.to_owned()));
            self.shared.events.send_modify(|count| *count += 1);
        }
        let (word, argument) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            self.error("25P02", "the transaction has failed");
            return Ok(());
        }
        match word {
            "SHOW" => self.show(argument).await,
            "write" => self.write(argument),
            "read" => self.read(),
            "big" => self.big(argument.parse().unwrap()),
            "hold" => self.hold().await,
            "die" if std::mem::take(&mut self.script().die_once) => {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            "die" => self.finish_read(),
            "echo" => self.echo(argument).await,
            "stray" => {
                self.complete("STRAY");
                self.ready();
                self.row(&["stray"]);
            }
            "garble" => self.output.extend_from_slice(&[b'D', 0, 0, 0, 0]),
            "huge" => {
                let filler = "x".repeat(9 * 1024 * 1024);
                self.row(&[&filler]);
                self.finish_read();
            }
            "fail" => self.error("22012", "as scripted"),
            "BEGIN" => {
                self.in_transaction = true;
                self.complete("BEGIN");
            }
            "COMMIT" => self.commit(),
            "ROLLBACK" => {
                self.end_transaction();
                self.complete("ROLLBACK");
            }
            "DISCARD" => {
                self.statements.clear();
                self.complete("DISCARD ALL");
            }
            _ => self.complete(word),
        }
        Ok(())
    }

    fn complete(&mut self, tag: &str) {
        self.put(PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())));
    }

    fn row(&mut self, columns: &[&str]) {
        let mut data = BytesMut::new();
        for column in columns {
            data.extend_from_slice(&(column.len() as i32).to_be_bytes());
            data.extend_from_slice(column.as_bytes());
        }
        self.put(PgWireBackendMessage::DataRow(DataRow::new(data, columns.len() as i16)));
    }

    pub(super) fn error(&mut self, sqlstate: &str, text: &str) {
        self.failed = self.in_transaction;
        let fields = vec![(b'C', sqlstate.to_owned()), (b'M', text.to_owned())];
        self.put(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    fn position(&mut self, index: u64) {
        let text = format!("{}/{index}", self.script().term);
        let name = "replication.position".to_owned();
        self.put(PgWireBackendMessage::ParameterStatus(ParameterStatus::new(name, text)));
    }

    async fn show(&mut self, parameter: &str) {
        if parameter == "replication.read_index" {
            self.script().barriers += 1;
            self.shared.events.send_modify(|count| *count += 1);
        }
        let mut frozen = self.shared.frozen.subscribe();
        drop(frozen.wait_for(|frozen| !*frozen).await);
        let (primary, term, index) = {
            let script = self.script();
            (script.primary, script.term.to_string(), script.index)
        };
        let position = format!("{term}/{index}");
        if parameter == "replication.status" {
            let role = if primary { "primary" } else { "replica" };
            let name = self.shared.name.clone();
            self.row(&[&name, role, &term, &position, &position, ""]);
            return self.complete("SHOW");
        }
        if !primary {
            return self.error("25006", "not the primary");
        }
        self.row(&[&position]);
        self.complete("SHOW");
    }

    fn write(&mut self, value: &str) {
        if !self.script().primary {
            return self.error("25006", "not the primary");
        }
        self.pending.push(value.to_owned());
        if !self.in_transaction {
            self.apply();
        }
        self.complete("INSERT 0 1");
    }

    fn apply(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        let index = {
            let mut script = self.script();
            script.index += 1;
            script.written.extend(pending);
            script.index
        };
        self.position(index);
    }

    fn commit(&mut self) {
        if self.failed {
            self.end_transaction();
            return self.complete("ROLLBACK");
        }
        self.apply();
        self.end_transaction();
        self.complete("COMMIT");
    }

    fn end_transaction(&mut self) {
        self.pending.clear();
        self.in_transaction = false;
        self.failed = false;
    }

    fn read(&mut self) {
        let name = self.shared.name.clone();
        self.row(&[&name]);
        self.finish_read();
    }

    fn big(&mut self, rows: usize) {
        let filler = "x".repeat(1_000);
        for _ in 0..rows {
            self.row(&[&filler]);
        }
        self.finish_read();
    }

    fn finish_read(&mut self) {
        if !self.in_transaction {
            let index = {
                let script = self.script();
                script.read_index.unwrap_or(script.index)
            };
            self.position(index);
        }
        self.complete("SELECT 1");
    }

    async fn echo(&mut self, text: &str) {
        for _ in 0..text.len() * 7 % 31 {
            tokio::task::yield_now().await;
        }
        self.row(&[text]);
        self.finish_read();
    }

    async fn hold(&mut self) {
        let mut gate = self.shared.gate.subscribe();
        let mut cancelled = self.shared.cancelled.subscribe();
        let number = self.number;
        let was_cancelled = tokio::select! {
            _ = gate.wait_for(|open| *open) => false,
            _ = cancelled.wait_for(|pid| *pid == number) => true,
        };
        if was_cancelled {
            return self.error("57014", "cancelled");
        }
        self.finish_read();
    }
}
