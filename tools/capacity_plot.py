"""Renders small line plots as SVG images."""

from tools import capacity_fit

WIDTH = 420
HEIGHT = 260
LEFT = 64
RIGHT = 16
TOP = 34
BOTTOM = 44


def svg(series: capacity_fit.Series) -> str:
    """Returns a plot of the measured points, the fitted line and the budget."""
    line = capacity_fit.line_of(series)
    target = series["target"]
    largest_value = max(
        *series["values"], line.at_target, series["budget"] or 0.0
    )
    largest_size = max(*series["sizes"], target)

    def to_pixels(x: float, y: float) -> tuple[float, float]:
        pixel_x = LEFT + x / largest_size * (WIDTH - LEFT - RIGHT)
        pixel_height = y / (largest_value or 1.0) * (HEIGHT - TOP - BOTTOM)
        return round(pixel_x, 1), round(
            HEIGHT - BOTTOM - max(pixel_height, 0.0), 1
        )

    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}"'
        f' height="{HEIGHT}" font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(LEFT, 18, f"{series['name']} ({series['unit']})"),
        _text(LEFT, HEIGHT - 8, f"{series['axis']}, 0 to {largest_size:g}"),
        _text(4, TOP + 4, f"{largest_value:.4g}"),
        _text(4, HEIGHT - BOTTOM, "0"),
        _line(to_pixels(0, 0), to_pixels(largest_size, 0), "black"),
        _line(to_pixels(0, 0), to_pixels(0, largest_value), "black"),
        _line(
            to_pixels(0, line.base), to_pixels(target, line.at_target), "#36c"
        ),
    ]
    if series["budget"] is not None:
        level = series["budget"]
        elements.append(
            _line(to_pixels(0, level), to_pixels(largest_size, level), "#c33")
        )
    for size, value in zip(series["sizes"], series["values"], strict=True):
        x, y = to_pixels(size, value)
        elements.append(f'<circle cx="{x}" cy="{y}" r="3" fill="#36c"/>')
    return "\n".join([*elements, "</svg>"]) + "\n"


def _text(x: float, y: float, text: str) -> str:
    escaped = text.replace("&", "&amp;").replace("<", "&lt;")
    return f'<text x="{x}" y="{y}">{escaped}</text>'


def _line(
    start: tuple[float, float], end: tuple[float, float], colour: str
) -> str:
    return (
        f'<line x1="{start[0]}" y1="{start[1]}" x2="{end[0]}"'
        f' y2="{end[1]}" stroke="{colour}"/>'
    )
