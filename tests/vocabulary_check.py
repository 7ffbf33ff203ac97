"""Finds retired words: `python -m tests.vocabulary_check [--counts] [WORD ...]`.

The section "Retired words" in docs/GLOSSARY.md lists the words and their replacements.  The check searches
the names that Python files define, comments, docstrings and some Markdown pages, and matches only complete
words.  Other string literals are skipped, because they contain names of the wire format.  Text in backticks
or double quotes is skipped as a quotation.  Words given as arguments limit the search to these words.
`--counts` prints the number of findings by word and by file instead of the findings.  The exit code is 0
without findings, 1 with findings, and 2 for a word that the glossary does not list.
"""

from __future__ import annotations

import ast
import io
import re
import sys
import tokenize
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
PACKAGES = ("balancer", "gateway", "scale", "simulator", "tests")
PAGES = ("README.md", "docs/ARCHITECTURE.md", "docs/CAPACITY.md")
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
RETIRED_WORDS_HEADING = "## Retired words"
ALLOWED_MODULES = frozenset({"cold_start", "test_cold_start"})
"""Module names that are allowed because a command of the project has that name."""

ALLOWED_NAMES = frozenset({"ask_within_s"})
"""Names that are allowed because stored records contain them: a parameter of an experiment."""

CODE_FENCE = re.compile(r"^```\w*", re.MULTILINE)
QUOTATION = re.compile(r'`[^`]*`|"[^"]{0,200}"')
NAME_PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|\d+")


class Finding(NamedTuple):
    """An occurrence of a retired word."""

    path: str
    line: int
    word: str
    replacement: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line} {self.word} -> {self.replacement}"


class Text(NamedTuple):
    """Text to be searched and the line where it starts."""

    line: int
    words: str


def read_retired_words(glossary: str) -> dict[str, str]:
    """Return the replacement for each retired word or phrase; raise ValueError if the table is missing."""
    _, found, section = glossary.partition(RETIRED_WORDS_HEADING)
    rows = [line.strip().strip("|").split("|") for line in section.splitlines() if line.startswith("|")]
    if not found or len(rows) < 3:
        raise ValueError(f"the glossary has no table in its section {RETIRED_WORDS_HEADING!r}")
    return {
        word.strip(): replacement.strip()
        for words, replacement in rows[2:]  # after the header row and the separator row
        for word in words.split(",")
    }


class Vocabulary:
    """Retired words and their compiled search patterns."""

    def __init__(self, retired: Mapping[str, str]) -> None:
        self._retired = retired
        self._patterns = {word: _compile_pattern(word) for word in retired}

    def find(self, path: str, texts: Iterable[Text]) -> Iterator[Finding]:
        """Yield the retired words in these texts with their lines."""
        for text in texts:
            for word, pattern in self._patterns.items():
                for match in pattern.finditer(text.words):
                    line = text.line + text.words.count("\n", 0, match.start())
                    yield Finding(path, line, word, self._retired[word])


def _compile_pattern(word: str) -> re.Pattern[str]:
    """Return a pattern for a complete word, or for a phrase joined by any whitespace and hyphens."""
    phrase = r"[\s-]+".join(re.escape(part) for part in re.split(r"[\s-]+", word))
    return re.compile(rf"(?<!\w){phrase}(?!\w)", re.IGNORECASE)


def texts_of_python(source: str) -> Iterator[Text]:
    """Yield the defined names, docstrings and comments of a Python file."""
    tree = ast.parse(source)
    for node in ast.walk(tree):
        for name in _defined_names(node):
            if name in ALLOWED_NAMES:
                continue
            yield Text(getattr(node, "lineno", 1), split_name(name))
    for node in ast.walk(tree):
        yield from _docstrings(node)
    yield from _comments(source)


def split_name(name: str) -> str:
    """Return the words of an identifier, split at underscores and capitals and separated by spaces."""
    return " ".join(NAME_PART.findall(name))


def _defined_names(node: ast.AST) -> list[str]:
    match node:
        case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
            return [name]
        case ast.arg(arg=name):
            return [name]
        case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
            return [name]
        case ast.alias(asname=str(name)) | ast.ExceptHandler(name=str(name)) | ast.MatchAs(name=str(name)):
            return [name]
    return []


def _docstrings(node: ast.AST) -> Iterator[Text]:
    """Yield strings used as statements: docstrings, including those of constants and fields."""
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        value = node.value.value
        if isinstance(value, str):
            yield Text(node.lineno, _blank_quotations(value))


def _comments(source: str) -> Iterator[Text]:
    """Yield comments; successive lines form one text, because a phrase may continue on the next line."""
    comment_lines: list[str] = []
    first_line = 0
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type != tokenize.COMMENT:
            continue
        if comment_lines and token.start[0] != first_line + len(comment_lines):
            yield Text(first_line, _blank_quotations("\n".join(comment_lines)))
            comment_lines = []
        first_line = first_line if comment_lines else token.start[0]
        comment_lines.append(token.string.lstrip("#"))
    if comment_lines:
        yield Text(first_line, _blank_quotations("\n".join(comment_lines)))


def texts_of_page(page: str) -> Iterator[Text]:
    """Yield the text of a Markdown page, including its code blocks."""
    yield Text(1, _blank_quotations(CODE_FENCE.sub(_blank_out, page)))


def _blank_quotations(text: str) -> str:
    return QUOTATION.sub(_blank_out, text)


def _blank_out(match: re.Match[str]) -> str:
    """Replace a match by spaces and retain its line breaks."""
    return re.sub(r"[^\n]", " ", match.group())


def find_in_project(vocabulary: Vocabulary, root: Path = ROOT) -> list[Finding]:
    """Return all findings, sorted by file and line."""
    findings: list[Finding] = []
    for package in PACKAGES:
        for path in sorted((root / package).rglob("*.py")):
            name = path.relative_to(root).as_posix()
            if path.stem not in ALLOWED_MODULES:
                findings += vocabulary.find(name, [Text(1, split_name(path.stem))])
            findings += vocabulary.find(name, texts_of_python(path.read_text()))
    for page in PAGES:
        findings += vocabulary.find(page, texts_of_page((root / page).read_text()))
    return sorted(findings)


def _print_counts(findings: Sequence[Finding]) -> None:
    for counts in (Counter(item.word for item in findings), Counter(item.path for item in findings)):
        for name, count in counts.most_common():
            print(f"{count:5} {name}")
        print()


def main(arguments: Sequence[str]) -> int:
    """Print the findings, or their counts with `--counts`; return the exit code."""
    retired = read_retired_words(GLOSSARY.read_text())
    words = [argument for argument in arguments if argument != "--counts"]
    if unknown := [word for word in words if word not in retired]:
        print(f"vocabulary: not in the glossary: {', '.join(unknown)}", file=sys.stderr)
        return 2
    findings = find_in_project(Vocabulary({word: retired[word] for word in words or retired}))
    if "--counts" in arguments:
        _print_counts(findings)
    else:
        print("\n".join(map(str, findings)))
    return int(bool(findings))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
