#include "telemetry/metrics.h"

#include <cstdio>

namespace ebonyway {

namespace acc = boost::accumulators;

namespace {

std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string renderLabels(const std::vector<metric_label> &labels)
{
    if (labels.empty()) {
        return {};
    }
    std::string text;
    for (const metric_label &label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escapeLabel(label.value) + "\"";
    }
    return text + "}";
}

} // namespace

distribution::distribution()
    : m_median(acc::quantile_probability = 0.5)
    , m_percentile99(acc::quantile_probability = 0.99)
{ }

void distribution::add(double value)
{
    m_summary(value);
    m_median(value);
    m_percentile99(value);
}

void distribution::appendTo(std::vector<metric_sample> &samples, const std::string &name) const
{
    samples.push_back({name + "_count", {}, static_cast<double>(acc::count(m_summary))});
    if (acc::count(m_summary) == 0) {
        return;
    }
    samples.push_back({name + "_sum", {}, acc::sum(m_summary)});
    samples.push_back({name + "_mean", {}, acc::mean(m_summary)});
    samples.push_back({name + "_max", {}, acc::max(m_summary)});
    samples.push_back({name, {{"quantile", "0.5"}}, acc::p_square_quantile(m_median)});
    samples.push_back({name, {{"quantile", "0.99"}}, acc::p_square_quantile(m_percentile99)});
}

void metrics_registry::observe(const std::string &name, double value)
{
    const std::lock_guard lock(m_mutex);
    m_distributions[name].add(value);
}

std::vector<metric_sample> metrics_registry::samples() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<metric_sample> samples;
    for (const auto &[name, values] : m_distributions) {
        values.appendTo(samples, name);
    }
    return samples;
}

std::string renderPrometheus(const std::vector<metric_sample> &samples)
{
    std::string text;
    for (const metric_sample &sample : samples) {
        char value[64] = {};
        std::snprintf(value, sizeof(value), "%.15g", sample.value);
        text += "ebonyway_" + sample.name + renderLabels(sample.labels) + " " + value + "\n";
    }
    return text;
}

} // namespace ebonyway
