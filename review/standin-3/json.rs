//! A small JSON reader, enough for the messages of the platform's pages.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Reads a text; nothing if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader {
            text: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip();
        (reader.at == reader.text.len()).then_some(value)
    }

    /// Returns a field of a table, or null.
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(NULL, |(_, value)| value),
            _ => NULL,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, word: &str) -> Option<()> {
        self.text[self.at..]
            .starts_with(word.as_bytes())
            .then(|| self.at += word.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.text.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.digits(),
        }
    }

    /// Reads a number. Whole numbers above 2^53 (fencing tokens) are read exactly by `whole`.
    fn digits(&mut self) -> Option<Json> {
        let from = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        std::str::from_utf8(&self.text[from..self.at])
            .ok()?
            .parse()
            .ok()
            .map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            bytes.extend(char::from_u32(code)?.encode_utf8(&mut buffer).bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            self.skip();
            if self.text.get(self.at)? == &b']' {
                self.at += 1;
                return Some(Json::List(list));
            }
            list.push(self.value()?);
            self.skip();
            if self.text.get(self.at)? == &b',' {
                self.at += 1;
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            self.skip();
            if self.text.get(self.at)? == &b'}' {
                self.at += 1;
                return Some(Json::Table(fields));
            }
            let name = self.string()?;
            self.skip();
            self.take(":")?;
            fields.push((name, self.value()?));
            self.skip();
            if self.text.get(self.at)? == &b',' {
                self.at += 1;
            }
        }
    }
}
