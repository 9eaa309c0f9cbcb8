#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ebonyway {

/** Label of a metric, for example {"reason", "truncated"}. */
struct metric_label
{
    std::string name;
    std::string value;
};

/** One exported value. */
struct metric_sample
{
    std::string name; ///< Without the common prefix "ebonyway_".
    std::vector<metric_label> labels;
    double value = 0;
};

/**
 * Distribution of one quantity, summarised by Boost.Accumulators: count, sum, mean, maximum and the
 * 50th and 99th percentiles (P-square estimates). Not thread-safe.
 */
class distribution
{
public:
    distribution();

    void add(double value);

    /** Appends the summary as samples: quantiles as `name`, others with a suffix such as _max. */
    void appendTo(std::vector<metric_sample> &samples, const std::string &name) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<
                            boost::accumulators::tag::count, boost::accumulators::tag::sum,
                            boost::accumulators::tag::mean, boost::accumulators::tag::max>>;
    using quantile_accumulator = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    accumulator m_summary;
    quantile_accumulator m_median;
    quantile_accumulator m_percentile99;
};

/**
 * Distributions by name. Thread-safe: the control thread, the platform thread and the status server
 * share it.
 */
class metrics_registry
{
public:
    /** Adds a value to the named distribution, which is created on first use. */
    void observe(const std::string &name, double value);

    std::vector<metric_sample> samples() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, distribution> m_distributions;
};

/** Renders samples in the Prometheus text format with the prefix "ebonyway_". */
std::string renderPrometheus(const std::vector<metric_sample> &samples);

} // namespace ebonyway
