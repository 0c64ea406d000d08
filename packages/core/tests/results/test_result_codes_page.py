"""Checks docs/result-codes.md against the result codes."""

import pathlib
import re

from rattanpulley_core import results

ROOT = pathlib.Path(__file__).parents[4]
ROW = re.compile(r"\| (\d{4}) \| (\w+) \| (\d+) \| (\w+) \| (-|\d+) \| .+ \|")


def test_page_lists_exactly_the_codes_with_their_details():
    # Guards against callers that handle a code as an outdated page documents.
    text = (ROOT / "docs" / "result-codes.md").read_text(encoding="utf-8")
    rows = [
        ROW.fullmatch(line) for line in text.splitlines() if line[2:3] == "1"
    ]
    assert all(rows)
    found = [row.groups() for row in rows]
    expected = [
        (
            str(int(code)),
            code.name.lower(),
            str(details.http_status),
            details.run_state.value,
            str(details.retry_after_s).replace("None", "-"),
        )
        for code, details in results.DETAILS_BY_CODE.items()
    ]
    assert found == expected


def test_design_table_agrees():
    # Guards against a design page that documents another status or run state.
    text = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    row = re.compile(r"^\| (\d{4}) \| (\w+) \| (\d+) \| (\w+)", re.MULTILINE)
    expected = {
        (str(int(c)), c.name.lower(), str(d.http_status), d.run_state.value)
        for c, d in results.DETAILS_BY_CODE.items()
    }
    assert set(row.findall(text)) == expected
