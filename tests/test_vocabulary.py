"""Tests of the check for retired words: which text it reports and which it ignores."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.vocabulary_check import (
    GLOSSARY,
    PACKAGES,
    PAGES,
    Finding,
    Vocabulary,
    find_in_project,
    main,
    read_retired_words,
    split_name,
    texts_of_page,
    texts_of_python,
)

RETIRED = read_retired_words(GLOSSARY.read_text())
VOCABULARY = Vocabulary(RETIRED)


def found_in_python(source: str) -> list[tuple[int, str]]:
    return sorted((item.line, item.word) for item in VOCABULARY.find("x.py", texts_of_python(source)))


def found_in_page(page: str) -> list[tuple[int, str]]:
    return sorted((item.line, item.word) for item in VOCABULARY.find("x.md", texts_of_page(page)))


def test_the_glossary_lists_every_retired_word() -> None:
    words = """bridgesaddle, drill, decide, aim, worth, shun, shunned, doomed, spoilt, moot, probe, probes,
    probed, hollow, stage, scene, turned away, sent on, second copy, second copies, further try, thrown out,
    further tries, fail-back, guards against, peers' word, holder of a duty, told, news, room, held, kept,
    refuse, refused, refuses, refusal, ask, asked, asks, asking, cold, whole, trouble, in its turn"""
    assert {" ".join(word.split()) for word in words.split(",")} <= RETIRED.keys()
    assert all(RETIRED.values())


@pytest.mark.parametrize(
    ("source", "word"),
    [
        ("told = 1", "told"),
        ("held: int", "held"),
        ("def ask_all(): ...", "ask"),
        ("async def refuse(): ...", "refuse"),
        ("class HollowGateway: ...", "hollow"),
        ("class HTTPProbe: ...", "probe"),
        ("KEPT_PER_HOST = 16", "kept"),
        ("def f(probe2): ...", "probe"),
        ("def f(*, whole=True): ...", "whole"),
        ("def f(*news): ...", "news"),
        ("def f(**told): ...", "told"),
        ("self.is_doomed = True", "doomed"),
        ("self.received, self.second_copy = 1, 2", "second copy"),
        ("for scene in (): ...", "scene"),
        ("import x as drill", "drill"),
        ("try: ...\nexcept OSError as trouble: ...", "trouble"),
        ("with open('x') as stage: ...", "stage"),
        ("x = [aim for aim in ()]", "aim"),
        ("if (worth := 1): ...", "worth"),
        ("x = 1  # Guards against a lost change", "guards against"),
        ("x = 1  # which guards\ny = 2  # against it", "guards against"),
        ("# it has been thrown\n# out", "thrown out"),
        ("# after the fail-back", "fail-back"),
        ("# the holder of\n# a duty", "holder of a duty"),
        ("# peers' word", "peers' word"),
        ("# (cold)", "cold"),
        ("# a half-cold one", "cold"),
        ('"""The probe\'s time."""', "probe"),
        ('def f():\n    """All requests sent\n    on are turned back."""', "sent on"),
        ('LIMIT = 1\n"""How much room there is."""', "room"),
        ("class A:\n    'What discovery is asked.'", "asked"),
    ],
)
def test_a_retired_word_is_found(source: str, word: str) -> None:
    assert word in [found for _, found in found_in_python(source)]


@pytest.mark.parametrize(
    "source",
    [
        "x = 'told, held, kept'",
        "x = f'refused {1}'",
        "x = {'whole': 1}['whole']",
        "__slots__ = ('held',)",
        "f(told=1)",
        "except_ = ConnectionRefusedError",
        "from x import hollow",
        "y = other.told",
        "withheld = taskbar = newsletter = aims = 1",
        "rooms = 1",
        "class Stagecoach: ...",
        "# the header `told`",
        '# a counter "refused"',
        '# which the page calls "second\n# copy"',
        '"""Sends `X-Whole` and "held" on."""',
        "# withheld, tasked, wholesale, mooted, scolded",
        "# guards only\n\n# against it",
    ],
)
def test_strings_quotations_and_parts_of_words_are_not_found(source: str) -> None:
    assert found_in_python(source) == []


def test_a_finding_has_the_line_of_the_word() -> None:
    assert found_in_python('"""One.\n\nTwo, told.\n"""\n\n# three\n# held\nx = kept = 1\n') == [
        (3, "told"),
        (7, "held"),
        (8, "kept"),
    ]


def test_pages_are_searched_without_quotations_but_with_code_blocks() -> None:
    page = 'A `told` page\nwith "held" words.\n\n```python\nnews = 1\n```\n\nKept.\n'
    assert found_in_page(page) == [(5, "news"), (8, "kept")]


def test_names_are_split_at_underscores_and_capitals() -> None:
    assert split_name("_HTTPResponse_parser2") == "HTTP Response parser 2"
    assert split_name("MAX_BODY") == "MAX BODY"


def test_a_finding_prints_its_location_and_the_replacement() -> None:
    assert str(Finding("a/b.py", 7, "told", "notified")) == "a/b.py:7 told -> notified"


def test_a_glossary_without_the_table_is_an_error() -> None:
    with pytest.raises(ValueError, match="no table"):
        read_retired_words("# Glossary\n\n## Retired words\n\nNone.\n")


def test_all_packages_and_pages_are_searched(tmp_path: Path) -> None:
    for package in PACKAGES:
        (tmp_path / package / "inner").mkdir(parents=True)
        (tmp_path / package / "inner" / "module.py").write_text("told = 1\n")
    (tmp_path / "scale" / "cold_start.py").write_text("")
    (tmp_path / "scale" / "hollow.py").write_text("")
    (tmp_path / "docs").mkdir()
    for page in PAGES:
        (tmp_path / page).write_text("All is told.\n")
    found = {(item.path, item.word) for item in find_in_project(VOCABULARY, tmp_path)}
    expected = {(f"{package}/inner/module.py", "told") for package in PACKAGES}
    expected |= {(page, "told") for page in PAGES}
    assert found == expected | {("scale/hollow.py", "hollow")}


def test_a_word_that_the_glossary_does_not_list_is_an_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["endpoint"]) == 2
    assert capsys.readouterr().err == "vocabulary: not in the glossary: endpoint\n"


def test_the_project_uses_no_retired_word() -> None:
    findings = find_in_project(VOCABULARY)
    assert not findings, "\n".join(map(str, findings))
