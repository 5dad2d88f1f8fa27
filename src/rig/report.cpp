#include "rig/report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace myrtleroute::rig {

namespace {

constexpr double width = 900, left = 60;

std::string escape_html(const std::string& text) {
    std::string safe;
    for (const char c : text) {
        if (c == '<') safe += "&lt;";
        else if (c == '>') safe += "&gt;";
        else if (c == '&') safe += "&amp;";
        else safe += c;
    }
    return safe;
}

double x(const RunRecord& d, double second) { return left + width * second / d.e.duration.s; }

// Draws faults as shaded areas over the whole height, with their names as tooltips.
void shade(std::ostream& out, const RunRecord& d, double height) {
    for (const auto& b : d.applied_faults) {
        const double from = std::clamp(b.from - d.start, 0.0, d.e.duration.s),
                     to = std::clamp(b.to - d.start, from, d.e.duration.s);
        out << "<rect x='" << x(d, from) << "' y='0' width='" << std::max(1.0, x(d, to) - x(d, from)) << "' height='"
            << height << "' fill='#c33' fill-opacity='" << (b.who.size() == 1 ? 0.04 : 0.12) << "'><title>"
            << name_of(d.e.faults[static_cast<size_t>(b.fault)].kind).name << ", "
            << escape_html(d.e.faults[static_cast<size_t>(b.fault)].who.words) << "</title></rect>\n";
    }
}

void axis(std::ostream& out, const RunRecord& d, double height) {
    const double step = std::pow(10, std::floor(std::log10(d.e.duration.s / 2)));
    for (double s = 0; s <= d.e.duration.s; s += step)
        out << "<text x='" << x(d, s) << "' y='" << height + 14 << "' class='n'>" << s << "</text>\n";
}

void heat(std::ostream& out, const ReportedRun& r) {
    const auto& rows = r.figures.heat;
    const double row = std::clamp(400.0 / static_cast<double>(std::max<size_t>(1, rows.size())), 2.0, 12.0);
    const double height = row * static_cast<double>(rows.size());
    out << "<h3>Calls by server and second, over the mean of that second (blue: none, white: the mean, red: thrice)</h3>\n<svg width='"
        << left + width + 10 << "' height='" << height + 20 << "'>\n";
    const size_t seconds = rows.empty() ? 0 : rows[0].size();
    for (size_t t = 0; t < seconds; ++t) {
        double sum = 0;
        for (size_t s = 0; s < rows.size(); ++s) sum += rows[s][t];
        const double mean = sum / static_cast<double>(rows.size());
        if (mean <= 0) continue;
        for (size_t s = 0; s < rows.size(); ++s) {
            const double ratio = rows[s][t] / mean;
            const int fade = static_cast<int>(255 * (ratio < 1 ? ratio : std::max(0.0, 1 - (ratio - 1) / 2)));
            out << "<rect x='" << std::setprecision(5) << x(r.record, static_cast<double>(t)) << "' y='"
                << row * static_cast<double>(s) << "' width='" << width / r.record.e.duration.s + 0.3 << "' height='"
                << row + 0.3 << "' fill='rgb(" << (ratio < 1 ? fade : 255) << ',' << fade << ','
                << (ratio < 1 ? 255 : fade) << ")'/>\n";
        }
    }
    shade(out, r.record, height);
    out << "<text x='0' y='12' class='n'>server 0</text>";
    axis(out, r.record, height);
    out << "</svg>\n";
}

void line(std::ostream& out, const RunRecord& d, const std::vector<double>& values, double most,
          const std::string& title) {
    const double height = 120;
    out << "<h3>" << title << "</h3>\n<svg width='" << left + width + 10 << "' height='" << height + 20 << "'>\n";
    shade(out, d, height);
    out << "<polyline fill='none' stroke='#246' stroke-width='1.5' points='";
    for (size_t i = 0; i < values.size(); ++i)
        out << x(d, static_cast<double>(i) + 0.5) << ',' << height * (1 - values[i] / std::max(1e-9, most)) << ' ';
    out << "'/><text x='0' y='12' class='n'>" << most << "</text><text x='0' y='" << height << "' class='n'>0</text>\n";
    axis(out, d, height);
    out << "</svg>\n";
}

}  // namespace

void write_report(std::ostream& out, const std::vector<ReportedRun>& runs) {
    out << "<!doctype html><html><head><meta charset='utf-8'><title>Fleet runs</title><style>body{font:14px sans-serif;margin:20px}"
           "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 7px;text-align:right}td:first-child{text-align:left}"
           ".n{font-size:11px;fill:#555}.bad{color:#b00}</style></head><body>\n<h1>Fleet runs</h1>\n<table><tr><th>run<th>calls<th>service"
           "<th>max<th>min<th>cv<th>random max<th>min<th>cv<th>herd<th>by chance<th>p50 s<th>p99 s<th>opens a call<th>connections a server"
           "<th>rules</tr>\n";
    out << std::setprecision(3);
    for (const auto& r : runs) {
        const auto& f = r.figures;
        out << "<tr><td>" << escape_html(r.record.e.name + ", " + r.record.arm) << ", seed " << r.record.e.seed
            << (r.record.complete ? "" : " (interrupted)") << "<td>" << f.calls << "<td>" << f.service << "<td>"
            << f.actual.max << "<td>" << f.actual.min << "<td>" << f.actual.cv << "<td>" << f.random.max << "<td>"
            << f.random.min << "<td>" << f.random.cv << "<td>" << f.herd << "<td>" << f.herd_random << "<td>"
            << f.all_latency.quantile(0.5) << "<td>" << f.all_latency.quantile(0.99) << "<td>"
            << static_cast<double>(f.opened) / static_cast<double>(std::max<uint64_t>(1, f.calls)) << "<td>"
            << f.max_connections << "<td"
            << (r.verdict.passed() ? ">kept"
                                   : " class='bad'>" + std::to_string(r.verdict.violations.size()) + " breaks")
            << "</tr>\n";
    }
    out << "</table>\n";
    for (const auto& r : runs) {
        out << "<h2>" << escape_html(r.record.e.name + ", " + r.record.arm) << ", seed " << r.record.e.seed
            << "</h2>\n<p>" << escape_html(r.record.e.text) << "</p>\n";
        for (const auto& b : r.verdict.violations)
            out << "<p class='bad'>" << name_of(b.rule) << ": " << escape_html(b.what) << "</p>\n";
        for (const auto& [why, n] : r.verdict.excused)
            out << "<p>excused: " << n << " x " << escape_html(why) << "</p>\n";
        heat(out, r);
        line(out, r.record, r.figures.service_by_second, 1, "Service by second: value in time over value asked");
        const auto& calls = r.figures.calls_by_second;
        line(out, r.record, calls, calls.empty() ? 1 : *std::max_element(calls.begin(), calls.end()),
             "Calls by second");
        std::vector<double> cv;
        for (const auto& w : r.figures.windows)
            for (int i = 0; i < static_cast<int>(r.record.e.window.s); ++i) cv.push_back(w.actual.cv);
        line(out, r.record, cv, cv.empty() ? 1 : std::max(0.01, *std::max_element(cv.begin(), cv.end())),
             "Coefficient of variation of calls by server, by window");
    }
    out << "</body></html>\n";
}

}  // namespace myrtleroute::rig
