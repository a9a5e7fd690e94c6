/** Formats line plots as SVG. @module */

const WIDTH = 900;
const PANEL_HEIGHT = 220;
const MARGIN = { left: 60, right: 130, top: 30, bottom: 30 };
const COLORS = ["#1f5fa8", "#2c8a4b", "#d08700", "#b3261e", "#6b4fa0"];
const GRID_LINES = 4;

/** One line of a plot. */
export interface Series {
  readonly name: string;
  readonly points: readonly (readonly [x: number, y: number])[];
}

/** A plot of several lines over time. */
export interface Panel {
  readonly title: string;
  readonly series: readonly Series[];
}

/** A labelled vertical line through all panels. */
export interface Mark {
  readonly x: number;
  readonly name: string;
}

function escapeXml(text: string): string {
  return text.replace(/&/g, "&amp;").replace(/</g, "&lt;");
}

function formatPanel(
  panel: Panel,
  at: { top: number; maxX: number; marks: readonly Mark[] },
): string {
  const { top, maxX, marks } = at;
  const height = PANEL_HEIGHT - MARGIN.top - MARGIN.bottom;
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const values = panel.series.flatMap((s) => s.points.map(([, y]) => y));
  const maxY = Math.max(1e-9, ...values);
  const bottom = top + MARGIN.top + height;
  const x = (v: number) => (MARGIN.left + v / maxX * width).toFixed(1);
  const y = (v: number) => (bottom - v / maxY * height).toFixed(1);
  const right = MARGIN.left + width;
  const grid = Array.from({ length: GRID_LINES + 1 }, (_, i) => {
    const v = maxY * i / GRID_LINES;
    return `<path d="M${MARGIN.left} ${y(v)}H${right}" stroke="#ddd"/>` +
      `<text x="${MARGIN.left - 6}" y="${y(v)}" text-anchor="end">${
        v.toPrecision(3)
      }</text>`;
  });
  const lines = panel.series.map((s, i) => {
    const points = s.points.map(([px, py]) => `${x(px)},${y(py)}`).join(" ");
    const color = COLORS[i % COLORS.length];
    const at = top + MARGIN.top + 14 * (i + 1);
    return `<polyline points="${points}" fill="none" stroke="${color}" ` +
      `stroke-width="1.5"/><text x="${right + 8}" y="${at}" fill="${color}">${
        escapeXml(s.name)
      }</text>`;
  });
  const verticals = marks.map((m) =>
    `<path d="M${x(m.x)} ${top + MARGIN.top}V${bottom}" stroke="#888" ` +
    `stroke-dasharray="3 3"/><text x="${x(m.x)}" y="${bottom + 14}">${
      escapeXml(m.name)
    }</text>`
  );
  return `<text x="${MARGIN.left}" y="${top + 18}" font-weight="bold">${
    escapeXml(panel.title)
  }</text>${grid.join("")}${verticals.join("")}${lines.join("")}`;
}

/** Formats stacked panels that share a horizontal axis from 0 to `maxX`. */
export function formatSvg(
  panels: readonly Panel[],
  options: { maxX: number; marks: readonly Mark[] },
): string {
  const height = PANEL_HEIGHT * panels.length;
  const body = panels.map((panel, i) =>
    formatPanel(panel, { top: i * PANEL_HEIGHT, ...options })
  );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="11">` +
    `<rect width="100%" height="100%" fill="white"/>${body.join("")}</svg>\n`;
}
