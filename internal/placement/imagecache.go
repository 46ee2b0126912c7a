package placement

import "slices"

// ImageCache is what is known of the images that a machine holds: those used there, the latest first, as many as
// its cache can hold. The zero value is empty.
type ImageCache struct {
	images  []string
	sizesGB []float64
}

// Use records that an image is cached and in use, and drops the images that no longer fit into the capacity.
func (c *ImageCache) Use(image string, sizeGB, capacityGB float64) {
	if i := slices.Index(c.images, image); i >= 0 {
		c.images = slices.Delete(c.images, i, i+1)
		c.sizesGB = slices.Delete(c.sizesGB, i, i+1)
	}
	c.images = slices.Insert(c.images, 0, image)
	c.sizesGB = slices.Insert(c.sizesGB, 0, sizeGB)
	total := 0.0
	for i, size := range c.sizesGB {
		total += size
		if total > capacityGB && i > 0 { // the image in use is held whatever its size
			c.images, c.sizesGB = c.images[:i], c.sizesGB[:i]
			return
		}
	}
}

// Has reports whether an image is known to be cached; a nil cache has none.
func (c *ImageCache) Has(image string) bool { return c != nil && slices.Contains(c.images, image) }
