"""Parser of the field `kind`, which routes and pools have."""

from rattanpulley_core._internal.tables import reader
from rattanpulley_core._internal.tables import rows


def parse_kind(row: reader.ObjectReader) -> rows.TargetKind:
    """Returns the `kind` field of a route or pool.

    An invalid kind is reported and replaced by `TargetKind.ENGINE`.
    """
    text = row.text("kind")
    try:
        return rows.TargetKind(text)
    except ValueError:
        if text:
            row.report(
                "kind", f"{text!r} is not a kind", "Give 'engine' or 'service'"
            )
        return rows.TargetKind.ENGINE
