/** Style sheet of the time line page. */
export const STYLE = `
:root { --ink: #1d2733; --faint: #6b7785; --line: #d9dfe6; --paper: #fff; --band: #f5f7f9;
  --good: #1f8a4c; --warning: #b7791f; --bad: #c53030; --notice: #2b6cb0; --ordinary: #8795a5; }
* { box-sizing: border-box; }
body { margin: 0 auto; padding: 24px 32px 64px; max-width: 1280px; color: var(--ink); background: var(--paper);
  font: 14px/1.5 system-ui, -apple-system, "Segoe UI", "DejaVu Sans", sans-serif; }
h1 { font-size: 22px; margin: 0 0 4px; } h2 { font-size: 17px; margin: 36px 0 8px; } h3 { font-size: 15px; margin: 0; }
p { margin: 4px 0; } .faint { color: var(--faint); } .num { text-align: right; font-variant-numeric: tabular-nums; }
.warn { background: #fff6e5; border-left: 4px solid var(--warning); padding: 6px 12px; margin: 8px 0; }
.facts { display: flex; flex-wrap: wrap; gap: 12px; margin: 16px 0 8px; }
.fact { background: var(--band); border-radius: 6px; padding: 8px 14px; min-width: 110px; }
.fact b { display: block; font-size: 20px; font-variant-numeric: tabular-nums; }
svg { display: block; width: 100%; height: auto; } svg text { font: 11px system-ui, "DejaVu Sans", sans-serif; fill: var(--ink); }
svg .axis { fill: var(--faint); } svg .grid { stroke: var(--line); stroke-width: 1; } svg .lane { fill: var(--band); }
svg .arrow { stroke: var(--ordinary); stroke-width: 1.2; fill: none; }
svg .domain { font-weight: 600; fill: var(--faint); }
.good { fill: var(--good); color: var(--good); } .warning { fill: var(--warning); color: var(--warning); }
.bad { fill: var(--bad); color: var(--bad); } .notice { fill: var(--notice); color: var(--notice); }
.ordinary { fill: var(--ordinary); color: var(--ordinary); }
.legend span { margin-right: 18px; } .legend i { display: inline-block; width: 10px; height: 10px; border-radius: 50%; margin-right: 6px; background: currentColor; }
.legend b { color: var(--ink); font-weight: 400; }
table { border-collapse: collapse; width: 100%; font-size: 13px; } th { text-align: left; color: var(--faint); font-weight: 600; }
th, td { padding: 3px 12px 3px 0; border-bottom: 1px solid var(--line); vertical-align: top; } td.time { white-space: nowrap; font-variant-numeric: tabular-nums; }
details { border: 1px solid var(--line); border-radius: 6px; padding: 10px 16px; margin: 10px 0; } summary { cursor: pointer; }
summary .outcome { float: right; } .sentences { max-width: 88ch; margin: 8px 0 12px; padding-left: 20px; }
.charts { display: grid; grid-template-columns: repeat(auto-fill, minmax(280px, 1fr)); gap: 16px; }
.chart { border: 1px solid var(--line); border-radius: 6px; padding: 10px 12px; }
nav { margin-top: 8px; } nav a { color: var(--notice); margin-right: 14px; }
`
