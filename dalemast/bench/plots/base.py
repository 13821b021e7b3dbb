"""What the pictures have in common."""

from __future__ import annotations

from pathlib import Path

from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

__all__ = ["HEIGHT_IN", "WIDTH_IN", "save"]

WIDTH_IN = 10.0
HEIGHT_IN = 3.2
"""Size of one panel, in inches."""


def save(figure: Figure, file: Path) -> None:
    """Write a figure as SVG, the same bytes for the same data."""
    file.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    FigureCanvasSVG(figure).print_svg(str(file), metadata={"Date": None})
