"""Small line plots as SVG pictures."""

from tools import capacity_fit

WIDTH = 420
HEIGHT = 260
LEFT = 64
RIGHT = 16
TOP = 34
BOTTOM = 44


def svg(series: capacity_fit.Series) -> str:
    """Returns a plot of the measured points and the line to the target."""
    line = capacity_fit.line_of(series)
    target = series["target"]
    highest = max(*series["values"], line.at_target, series["budget"] or 0.0)
    widest = max(*series["sizes"], target)

    def place(x: float, y: float) -> tuple[float, float]:
        across = LEFT + x / widest * (WIDTH - LEFT - RIGHT)
        up = y / (highest or 1.0) * (HEIGHT - TOP - BOTTOM)
        return round(across, 1), round(HEIGHT - BOTTOM - max(up, 0.0), 1)

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}"'
        f' height="{HEIGHT}" font-family="sans-serif" font-size="11">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(LEFT, 18, f"{series['name']} ({series['unit']})"),
        _text(LEFT, HEIGHT - 8, f"{series['axis']}, 0 to {widest:g}"),
        _text(4, TOP + 4, f"{highest:.4g}"),
        _text(4, HEIGHT - BOTTOM, "0"),
        _stroke(place(0, 0), place(widest, 0), "black"),
        _stroke(place(0, 0), place(0, highest), "black"),
        _stroke(place(0, line.base), place(target, line.at_target), "#36c"),
    ]
    if series["budget"] is not None:
        level = series["budget"]
        parts.append(_stroke(place(0, level), place(widest, level), "#c33"))
    for size, value in zip(series["sizes"], series["values"], strict=True):
        x, y = place(size, value)
        parts.append(f'<circle cx="{x}" cy="{y}" r="3" fill="#36c"/>')
    return "\n".join([*parts, "</svg>"]) + "\n"


def _text(x: float, y: float, text: str) -> str:
    safe = text.replace("&", "&amp;").replace("<", "&lt;")
    return f'<text x="{x}" y="{y}">{safe}</text>'


def _stroke(
    start: tuple[float, float], end: tuple[float, float], colour: str
) -> str:
    return (
        f'<line x1="{start[0]}" y1="{start[1]}" x2="{end[0]}"'
        f' y2="{end[1]}" stroke="{colour}"/>'
    )
