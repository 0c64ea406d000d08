"""Tests the output of measurements."""

import json

from rattanpulley_standins._internal import result_file


def test_results_are_written_and_printed(tmp_path, capsys):
    # Guards against a measurement that runs for minutes and is then lost for
    # want of a folder, and against a file that differs from the printed text.
    path = tmp_path / "measurements" / "result.json"
    result_file.write_and_print(path, {"answers": 3})
    assert path.read_text() == capsys.readouterr().out
    assert json.loads(path.read_text()) == {"answers": 3}
